import { toFailureDomainId, toServiceId } from "@currantrill/protocol";
import { Packr } from "msgpackr";
import { describe, expect, it } from "vitest";
import type { PeerState } from "../../../src/peers/model/peerState.js";
import { decodeMessage } from "../../../src/peers/queries/messageCodec.js";
import { decodePeerState, encodePeerState } from "../../../src/peers/queries/peerStateCodec.js";
import { toPartSuspect, toRequestSuspect } from "../../../src/quarantine/model/suspect.js";
import { decodeEvidence, type EvidenceRow } from "../../../src/quarantine/queries/evidenceCodec.js";
import { createAssignment } from "../../engineFixture.js";

const state = {
    address: "10.0.0.1:7000",
    incarnation: 5,
    sequence: 9,
    failureDomain: toFailureDomainId("north"),
    capacity: 1.5,
    settledQuery: 7,
    isLeaving: false,
    isStoreUnavailable: true,
    observations: [
        { endpointId: "e1", unresponsiveReports: 1, failures: 2.5 },
        { endpointId: "e2", unresponsiveReports: 0, failures: 0, slowdown: 4 },
    ],
    lastChangeVersions: { configuration: 12 },
    hosts: ["10.0.0.2:7000"],
} satisfies Omit<PeerState, "assignments">;

describe("peer states", () => {
    // Guards against times of one host's monotonic clock being used on another host.
    it("carry times as ages", () => {
        const assignments = [
            createAssignment({ startedAtMs: 900, prefilledAtMs: 950 }),
            createAssignment({ id: 2, startedAtMs: 990 }),
        ];
        const decoded = decodePeerState(
            decodeMessage(encodePeerState({ ...state, assignments }, 1_000))!.fields,
            50_000,
        );
        expect(decoded).toEqual({
            ...state,
            assignments: [
                createAssignment({ startedAtMs: 49_900, prefilledAtMs: 49_950 }),
                createAssignment({ id: 2, startedAtMs: 49_990 }),
            ],
        });
    });
    it("carry evidence of crashes with ages", () => {
        const evidence = {
            reports: [{
                endpointId: "e1",
                processStartedAtMs: 7,
                service: toServiceId("pool"),
                crashedAtMs: 900,
                begunParts: [toPartSuspect("a")],
                waitingParts: [toPartSuspect("b")],
                requests: [{ suspect: toRequestSuspect("head.whole"), sentAtMs: 850 }],
            }],
            answers: [{ service: toServiceId("pool"), suspect: toPartSuspect("b"), count: 3, lastAtMs: 950 }],
            entries: [{
                service: toServiceId("pool"),
                suspect: toPartSuspect("c"),
                revision: 2,
                isIsolated: true,
                changedAtMs: 100,
                trials: 1,
            }],
        };
        const data = encodePeerState({ ...state, assignments: [], evidence }, 1_000);
        expect(decodePeerState(decodeMessage(data)!.fields, 50_000).evidence).toEqual({
            reports: [{
                ...evidence.reports[0],
                crashedAtMs: 49_900,
                requests: [{ suspect: toRequestSuspect("head.whole"), sentAtMs: 49_850 }],
            }],
            answers: [{ ...evidence.answers[0], lastAtMs: 49_950 }],
            entries: [{ ...evidence.entries[0], changedAtMs: 49_100 }],
        });
    });
    // Guards against hosts that lose the evidence on parts while a fleet is replaced by this build.
    it("are decoded from a build whose crash reports have no requests", () => {
        const row: EvidenceRow = [[["e0", 1, "pool", 100, [toPartSuspect("a")], []]], [], []];
        expect(decodeEvidence(row, 1_000).reports).toEqual([{
            endpointId: "e0",
            processStartedAtMs: 1,
            service: toServiceId("pool"),
            crashedAtMs: 900,
            begunParts: ["a"],
            waitingParts: [],
            requests: [],
        }]);
    });
    // Guards against hosts that stop exchanging messages while a fleet is replaced by this build.
    it("are decoded from a build that knows no quarantine", () => {
        const [header, ...rest] = decodeMessage(encodePeerState({ ...state, assignments: [] }, 1_000))!.fields;
        const older = [(header as unknown[]).slice(0, -1), ...rest];
        expect(decodePeerState(older, 50_000)).toEqual({ ...state, assignments: [] });
    });
    it.each([
        { name: "no bytes", data: Buffer.alloc(0) },
        { name: "other bytes", data: Buffer.from("GET / HTTP/1.1\r\n\r\n") },
        { name: "another layout", data: new Packr().pack([99, "a"]) },
        { name: "the layout of the previous build", data: new Packr().pack([2, "10.0.0.1:7000", "north", 5, 9]) },
        { name: "an unknown kind", data: new Packr().pack([3, 77]) },
        { name: "no array", data: new Packr().pack({ a: 1 }) },
    ])("are not decoded from $name", ({ data }) => {
        expect(decodeMessage(data)).toBeUndefined();
    });
});
