/** What hosts tell each other of endpoints. */

export interface EndpointSighting {
    readonly endpointId: string;
    /** The endpoint does not answer the host. */
    readonly isSilent: boolean;
    /** Recent failures, see `getFailures`. */
    readonly failures: number;
    /** Time of the endpoint's work relative to the published figures; absent if the host has not asked lately. */
    readonly pace?: number;
}

/** What all peers together say of one endpoint. */
export interface SharedSighting {
    readonly silentWitnesses: number;
    readonly failures: number;
    readonly pace: number;
}

export interface SightingBoard {
    /** Replaces what a peer has told. */
    readonly setPeer: (peer: string, sightings: readonly EndpointSighting[], nowMs: number) => void;
    readonly get: (endpointId: string, nowMs: number) => SharedSighting;
}

/** Sightings of a peer that is not heard any more are dropped after this time; peers tell them twice a second. */
const PEER_SIGHTINGS_MS = 2_000;

/** Creates an empty board. */
export function createSightingBoard(): SightingBoard {
    const peers = new Map<
        string,
        { readonly byEndpoint: ReadonlyMap<string, EndpointSighting>; readonly heardAtMs: number; }
    >();
    return {
        setPeer: (peer, sightings, nowMs) => {
            if (sightings.length === 0) {
                peers.delete(peer);
                return;
            }
            const byEndpoint = new Map(sightings.map(sighting => [sighting.endpointId, sighting]));
            peers.set(peer, { byEndpoint, heardAtMs: nowMs });
        },
        get: (endpointId, nowMs) => {
            const found = [...peers.values()]
                .filter(({ heardAtMs }) => nowMs - heardAtMs < PEER_SIGHTINGS_MS)
                .flatMap(({ byEndpoint }) => byEndpoint.get(endpointId) ?? []);
            return {
                silentWitnesses: found.filter(sighting => sighting.isSilent).length,
                failures: found.reduce((sum, sighting) => sum + sighting.failures, 0),
                pace: found.reduce((slowest, sighting) => Math.max(slowest, sighting.pace ?? 1), 1),
            };
        },
    };
}
