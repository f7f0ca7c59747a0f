import { describe, expect, it } from "vitest";
import { markUnresponsive, recordFailure, recordSlowdown } from "../../../src/endpoints/model/endpointHealth.js";
import type { EndpointSighting } from "../../../src/endpoints/model/endpointSighting.js";
import { listSightings } from "../../../src/endpoints/queries/listSightings.js";
import { createDirectory, endpointIds } from "../../directoryFixture.js";

describe("listSightings", () => {
    it("lists unresponsive, failing and slow endpoints, and no others", () => {
        const directory = createDirectory();
        const [first, second, third] = endpointIds.map(id => directory.get(id)!);
        first!.health = markUnresponsive(first!.health, 0);
        second!.health = recordFailure(second!.health, 0);
        third!.health = recordSlowdown(third!.health, 4, 0);
        expect(listSightings(directory, 0)).toEqual<readonly EndpointSighting[]>([
            { endpointId: "e1", isSilent: true, failures: 1 },
            { endpointId: "e2", isSilent: false, failures: 1 },
            { endpointId: "e3", isSilent: false, failures: 0, pace: 4 },
        ]);
        expect(listSightings(directory, 60_000).map(observation => observation.endpointId)).toEqual(["e1"]);
        directory.close();
    });
    // Guards against an isolated host that makes its peers avoid all endpoints.
    it("lists nothing if many endpoints are unresponsive", () => {
        const directory = createDirectory();
        for (const id of ["e1", "e2"]) {
            const endpoint = directory.get(id)!;
            endpoint.health = markUnresponsive(endpoint.health, 0);
        }
        expect(listSightings(directory, 0)).toEqual([]);
        directory.close();
    });
});
