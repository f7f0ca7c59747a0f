import { describe, expect, it } from "vitest";
import { type EndpointHealth, recordAnswer, recordPace } from "../../../src/endpoints/model/endpointHealth.js";
import { createSightingBoard, type EndpointSighting } from "../../../src/endpoints/model/endpointSighting.js";
import type { ForwardingContext } from "../../../src/model/forwardingContext.js";
import { createLedger } from "../../../src/placement/model/ledger.js";
import { listLoads } from "../../../src/requests/queries/listLoads.js";
import { createDirectory, directoryService } from "../../directoryFixture.js";

const silent: EndpointSighting = { endpointId: "e1", isSilent: true, failures: 1 };

/** The load of `e1` with what peers have told at time 0. */
function describeLoad(
    told: readonly EndpointSighting[],
    nowMs: number,
    update = (health: EndpointHealth): EndpointHealth => health,
) {
    const directory = createDirectory();
    const sightings = createSightingBoard();
    told.forEach((sighting, index) => sightings.setPeer(`p${index}:1`, [sighting], 0));
    const endpoint = directory.get("e1")!;
    endpoint.health = update(endpoint.health);
    const context = { directory, sightings, ledger: createLedger(() => undefined) } as unknown as ForwardingContext;
    const load = listLoads(context, directoryService, nowMs).find(each => each.id === "e1")!;
    directory.close();
    return { failures: load.failures, isSilent: load.isSilent, pace: load.pace };
}

describe("listLoads", () => {
    // Guards against an endpoint that all hosts avoid, because the way from one of them to it is cut.
    it("believes two peers that an endpoint is silent, and not one", () => {
        expect(describeLoad([silent], 10)).toEqual({ failures: 0.4, isSilent: false, pace: 1 });
        expect(describeLoad([silent, silent], 10)).toEqual({ failures: 0.8, isSilent: true, pace: 1 });
    });
    it("counts failures that peers have seen, up to a limit", () => {
        const told = Array.from({ length: 20 }, () => ({ ...silent, isSilent: false }));
        expect(describeLoad(told, 10).failures).toBeCloseTo(2.4);
    });
    it("takes the pace that a peer has asked for, and its own one first", () => {
        const slow = { endpointId: "e1", isSilent: false, failures: 0, pace: 4 };
        expect(describeLoad([slow], 10).pace).toBe(4);
        const recordOwn = (health: EndpointHealth): EndpointHealth => recordPace(health, 2, 5);
        expect(describeLoad([slow], 10, recordOwn).pace).toBe(2);
        expect(describeLoad([], 4_000, recordOwn).pace).toBe(1);
    });
    // Guards against a host that gives up an endpoint which serves it, because others do not reach it.
    it("does not take an endpoint for silent that answered this host lately", () => {
        const answer = (health: EndpointHealth): EndpointHealth => recordAnswer(health, 5);
        expect(describeLoad([silent, silent], 500, answer).isSilent).toBe(false);
        expect(describeLoad([silent, silent], 1_500, answer).isSilent).toBe(true);
    });
});
