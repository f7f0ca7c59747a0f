import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { type AssignedWork, createAssignmentRegistry } from "../../../src/placement/model/assignmentRegistry.js";
import { createAssignment } from "../../engineFixture.js";

const workOn = (endpointId: string): AssignedWork => createAssignment({ endpointId });

describe("createAssignmentRegistry", () => {
    const listIds = (registry: ReturnType<typeof createAssignmentRegistry>, nowMs: number): readonly string[] =>
        registry.listAll(nowMs).map(assignment => assignment.endpointId);

    // Guards against two prompts on one endpoint, because the state of the first one's host is still on its way.
    it("counts granted work until the peer announces that the query is settled", () => {
        const registry = createAssignmentRegistry(() => undefined);
        registry.grant("a:1", 7, [workOn("e1"), workOn("e2")], 0);
        registry.setPeer("a:1", [], 10, 6);
        expect(listIds(registry, 20)).toEqual(["e1", "e2"]);
        registry.setPeer("a:1", [createAssignment({ endpointId: "e1" })], 30, 7);
        expect(listIds(registry, 40)).toEqual(["e1"]);
    });
    // Guards against endpoints that stay booked for a host that has failed, or never received the answer.
    it("drops granted work of a peer that is not heard of", () => {
        const registry = createAssignmentRegistry(() => undefined);
        registry.grant("a:1", 7, [workOn("e1")], 0);
        expect(listIds(registry, 700)).toEqual(["e1"]);
        expect(listIds(registry, 900)).toEqual([]);
        registry.grant("a:1", 8, [workOn("e1")], 1_000);
        registry.removePeer("a:1");
        expect(listIds(registry, 1_010)).toEqual([]);
    });
    it("keeps the assignments of other domains apart, for a limited time", () => {
        const registry = createAssignmentRegistry(() => undefined);
        const south = toFailureDomainId("south");
        registry.setDomain(south, [createAssignment({ endpointId: "e9" })], 0);
        expect(listIds(registry, 10)).toEqual([]);
        expect([...registry.groupDomain(south, 10)?.keys() ?? []]).toEqual(["e9"]);
        expect(registry.groupDomain(south, 2_500)).toBeUndefined();
    });
});
