import { describe, expect, it } from "vitest";
import { markUnresponsive, recordFailure, recordSlowdown } from "../../../src/endpoints/model/endpointHealth.js";
import type { EndpointObservation } from "../../../src/endpoints/model/endpointObservation.js";
import { listEndpointObservations } from "../../../src/endpoints/queries/listEndpointObservations.js";
import { createDirectory, endpointIds } from "../../directoryFixture.js";

describe("listEndpointObservations", () => {
    it("lists unresponsive, failing and slow endpoints, and no others", () => {
        const directory = createDirectory();
        const [first, second, third] = endpointIds.map(id => directory.get(id)!);
        first!.health = markUnresponsive(first!.health, 0);
        second!.health = recordFailure(second!.health, 0);
        third!.health = recordSlowdown(third!.health, 4, 0);
        expect(listEndpointObservations(directory, () => false, 0)).toEqual<readonly EndpointObservation[]>([
            { endpointId: "e1", unresponsiveReports: 1, failures: 1 },
            { endpointId: "e2", unresponsiveReports: 0, failures: 1 },
            { endpointId: "e3", unresponsiveReports: 0, failures: 0, slowdown: 4 },
        ]);
        expect(listEndpointObservations(directory, () => false, 60_000).map(observation => observation.endpointId))
            .toEqual(["e1"]);
        directory.close();
    });
    // Guards against an isolated host that makes its peers avoid all endpoints.
    it("lists nothing if many endpoints are unresponsive", () => {
        const directory = createDirectory();
        for (const id of ["e1", "e2"]) {
            const endpoint = directory.get(id)!;
            endpoint.health = markUnresponsive(endpoint.health, 0);
        }
        expect(listEndpointObservations(directory, () => false, 0)).toEqual([]);
        directory.close();
    });
});
