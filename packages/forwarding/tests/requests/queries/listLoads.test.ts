import { describe, expect, it } from "vitest";
import { type EndpointHealth, recordResponse, recordSlowdown } from "../../../src/endpoints/model/endpointHealth.js";
import {
    createEndpointObservationTable,
    type EndpointObservation,
} from "../../../src/endpoints/model/endpointObservation.js";
import type { ForwardingContext } from "../../../src/model/forwardingContext.js";
import { createAssignmentRegistry } from "../../../src/placement/model/assignmentRegistry.js";
import { listLoads } from "../../../src/requests/queries/listLoads.js";
import { createDirectory, directoryService } from "../../directoryFixture.js";

const unresponsiveObservation: EndpointObservation = { endpointId: "e1", unresponsiveReports: 1, failures: 1 };

/** Describes the load of `e1` with observations that peers sent at time 0, one by each peer. */
function describeLoad(
    observations: readonly EndpointObservation[],
    nowMs: number,
    update = (health: EndpointHealth): EndpointHealth => health,
) {
    const directory = createDirectory();
    const observationTable = createEndpointObservationTable();
    observations.forEach((observation, index) => observationTable.setSource(`p${index}:1`, [observation], 0));
    const endpoint = directory.get("e1")!;
    endpoint.health = update(endpoint.health);
    const context = {
        directory,
        peerObservations: observationTable,
        assignmentRegistry: createAssignmentRegistry(() => undefined),
    } satisfies Partial<ForwardingContext> as unknown as ForwardingContext;
    const load = listLoads(context, directoryService, nowMs).find(each => each.id === "e1")!;
    directory.close();
    return { failures: load.failures, unresponsive: load.isUnresponsive, slowdownFactor: load.slowdown };
}

describe("listLoads", () => {
    // Guards against all hosts avoiding an endpoint because of a network partition between it and one host.
    it("treats an endpoint as unresponsive if two peers report it, but not if one does", () => {
        expect(describeLoad([unresponsiveObservation], 10))
            .toEqual({ failures: 0.4, unresponsive: false, slowdownFactor: 1 });
        expect(describeLoad([unresponsiveObservation, unresponsiveObservation], 10))
            .toEqual({ failures: 0.8, unresponsive: true, slowdownFactor: 1 });
    });
    it("counts failures that peers report, up to a limit", () => {
        const reports = Array.from(
            { length: 20 },
            (): EndpointObservation => ({ ...unresponsiveObservation, unresponsiveReports: 0 }),
        );
        expect(describeLoad(reports, 10).failures).toBeCloseTo(2.4);
    });
    it("uses slowdowns that peers report, unless it has a report of its own", () => {
        const slow: EndpointObservation = { endpointId: "e1", unresponsiveReports: 0, failures: 0, slowdown: 4 };
        expect(describeLoad([slow], 10).slowdownFactor).toBe(4);
        const recordLocal = (health: EndpointHealth): EndpointHealth => recordSlowdown(health, 2, 5);
        expect(describeLoad([slow], 10, recordLocal).slowdownFactor).toBe(2);
        expect(describeLoad([], 4_000, recordLocal).slowdownFactor).toBe(1);
    });
    // Guards against a host that avoids an endpoint which serves it, because other hosts cannot reach it.
    it("does not treat an endpoint as unresponsive that responded to this host recently", () => {
        const recordRecent = (health: EndpointHealth): EndpointHealth => recordResponse(health, 5);
        expect(describeLoad([unresponsiveObservation, unresponsiveObservation], 500, recordRecent).unresponsive).toBe(
            false,
        );
        expect(describeLoad([unresponsiveObservation, unresponsiveObservation], 1_500, recordRecent).unresponsive).toBe(
            true,
        );
    });
});
