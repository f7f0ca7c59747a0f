import { toFailureDomainId, toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { PlacementAnswer, PlacementQuery } from "../../../src/coordination/model/placementQuery.js";
import {
    decodeAnswer,
    decodeQuery,
    encodeAnswer,
    encodeQuery,
} from "../../../src/coordination/queries/placementCodec.js";
import type { FleetDigest } from "../../../src/peers/model/fleetDigest.js";
import { decodeFleetDigest, encodeFleetDigest } from "../../../src/peers/queries/fleetDigestCodec.js";
import { decodeMessage } from "../../../src/peers/queries/messageCodec.js";
import { createAssignment } from "../../engineFixture.js";

const query: PlacementQuery = {
    service: toServiceId("s"),
    promptTokens: 5_000,
    answerTokens: 400,
    targetMs: 299.5,
    targetPauseMs: 250,
    excludedIds: ["e1"],
    mayRedirect: true,
};

const answers: readonly PlacementAnswer[] = [
    {
        kind: "placed",
        placement: {
            primaryId: "e1",
            helperShards: [{ endpointId: "e2", reserveTokens: 70 }],
            firstEventMs: 1.5,
            backlogMs: 0,
            cost: 0.2,
            assignedCount: 3,
        },
    },
    { kind: "redirected", domain: toFailureDomainId("south"), localCost: Infinity },
    { kind: "none" },
    { kind: "unavailable" },
];

describe("messages between hosts", () => {
    it.each([query, { ...query, maxCost: 3.5 }, { ...query, maxCost: Infinity }])("carry a query", each => {
        const message = { from: "10.0.0.1:7000", id: 4, query: each };
        expect(decodeQuery(decodeMessage(encodeQuery(message))!.fields)).toEqual(message);
    });
    it.each(answers)("carry the answer $kind", answer => {
        expect(decodeAnswer(decodeMessage(encodeAnswer({ id: 4, answer }))!.fields)).toEqual({ id: 4, answer });
    });
    // Guards against a dead host that becomes younger each time a digest passes it on.
    it("carry a digest, whose members do not become younger", () => {
        const digest: FleetDigest = {
            address: "10.0.0.1:7000",
            failureDomain: toFailureDomainId("north"),
            incarnation: 5,
            sequence: 9,
            capacity: 1.35,
            isLeaving: false,
            isStoreUnavailable: false,
            lastChangeVersions: { configuration: 12 },
            hostCounts: { north: 39 },
            members: [{
                address: "10.0.0.2:7000",
                failureDomain: toFailureDomainId("north"),
                capacity: 0.324,
                isStoreUnavailable: true,
                ageMs: 10.2,
            }],
            observations: [{ endpointId: "e1", unresponsiveReports: 3, failures: 2 }],
            assignments: [createAssignment({ startedAtMs: 990 })],
        };
        expect(decodeFleetDigest(decodeMessage(encodeFleetDigest(digest, 1_000))!.fields, 5_000)).toEqual({
            ...digest,
            members: [{ ...digest.members[0], ageMs: 11 }],
            assignments: [createAssignment({ startedAtMs: 4_990 })],
        });
    });
});
