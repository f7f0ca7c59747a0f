import { describe, expect, it } from "vitest";
import {
    createEndpointObservationTable,
    type EndpointObservation,
} from "../../../src/endpoints/model/endpointObservation.js";

const unresponsiveObservation: EndpointObservation = { endpointId: "e1", isUnresponsive: true, failures: 1 };

describe("createEndpointObservationTable", () => {
    // Guards against every host of a large fleet having to lose a request before it detects that an endpoint fails.
    it("combines the observations of all peers", () => {
        const table = createEndpointObservationTable();
        table.setPeer("a:1", [unresponsiveObservation], 0);
        table.setPeer(
            "b:1",
            [unresponsiveObservation, { endpointId: "e2", isUnresponsive: false, failures: 0.5, slowdown: 4 }],
            0,
        );
        expect(table.get("e1", 100)).toEqual({ unresponsiveReports: 2, failures: 2, maxSlowdown: 1 });
        expect(table.get("e2", 100)).toEqual({ unresponsiveReports: 0, failures: 0.5, maxSlowdown: 4 });
    });
    // Guards against avoiding an endpoint after peers have reached it again or have left.
    it.each([
        { name: "the peer no longer reports it", update: true, nowMs: 100 },
        { name: "no messages arrive from the peer", update: false, nowMs: 2_000 },
    ])("drops an observation once $name", ({ update, nowMs }) => {
        const table = createEndpointObservationTable();
        table.setPeer("a:1", [unresponsiveObservation], 0);
        if (update) {
            table.setPeer("a:1", [], 50);
        }
        expect(table.get("e1", nowMs)).toEqual({ unresponsiveReports: 0, failures: 0, maxSlowdown: 1 });
    });
});
