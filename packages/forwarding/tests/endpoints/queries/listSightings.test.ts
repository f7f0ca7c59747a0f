import { describe, expect, it } from "vitest";
import { recordFailure, recordPace, recordSilence } from "../../../src/endpoints/model/endpointHealth.js";
import { listSightings } from "../../../src/endpoints/queries/listSightings.js";
import { createDirectory, endpointIds } from "../../directoryFixture.js";

describe("listSightings", () => {
    it("lists silent, failing and slow endpoints, and no others", () => {
        const directory = createDirectory();
        const [first, second, third] = endpointIds.map(id => directory.get(id)!);
        first!.health = recordSilence(first!.health, 0);
        second!.health = recordFailure(second!.health, 0);
        third!.health = recordPace(third!.health, 4, 0);
        expect(listSightings(directory, 0)).toEqual([
            { endpointId: "e1", isSilent: true, failures: 1 },
            { endpointId: "e2", isSilent: false, failures: 1 },
            { endpointId: "e3", isSilent: false, failures: 0, pace: 4 },
        ]);
        expect(listSightings(directory, 60_000).map(sighting => sighting.endpointId)).toEqual(["e1"]);
        directory.close();
    });
    // Guards against a host that is cut off and makes its peers avoid all endpoints.
    it("lists nothing where many endpoints are silent", () => {
        const directory = createDirectory();
        for (const id of ["e1", "e2"]) {
            const endpoint = directory.get(id)!;
            endpoint.health = recordSilence(endpoint.health, 0);
        }
        expect(listSightings(directory, 0)).toEqual([]);
        directory.close();
    });
});
