/** Endpoint observations that hosts exchange, so that not every host has to lose a request to detect a failure. */

/** State of an endpoint as observed by one host. */
export interface EndpointObservation {
    readonly endpointId: string;
    /** Whether the endpoint does not respond to the host. */
    readonly isUnresponsive: boolean;
    /** Decayed number of recent failures, see `getFailures`. */
    readonly failures: number;
    /** Processing time relative to the published figures; absent if the host has no recent report. */
    readonly slowdown?: number;
}

/** Combined observations of all peers for one endpoint. */
export interface ObservationSummary {
    /** Number of peers that report the endpoint as unresponsive. */
    readonly unresponsiveReports: number;
    /** Sum of the failures that peers report. */
    readonly failures: number;
    /** Largest slowdown that a peer reports, 1 if none does. */
    readonly maxSlowdown: number;
}

/** Table of the latest observations received from each peer. */
export interface EndpointObservationTable {
    /** Replaces the observations of a peer. */
    readonly setPeer: (peer: string, observations: readonly EndpointObservation[], nowMs: number) => void;
    /** Combines the current observations of all peers for an endpoint. */
    readonly get: (endpointId: string, nowMs: number) => ObservationSummary;
}

/** Validity of received observations, if a peer sends no more. Peers send them twice a second. */
const PEER_OBSERVATIONS_VALID_MS = 2_000;

export function createEndpointObservationTable(): EndpointObservationTable {
    const peers = new Map<
        string,
        { readonly byEndpoint: ReadonlyMap<string, EndpointObservation>; readonly receivedAtMs: number; }
    >();
    return {
        setPeer: (peer, observations, nowMs) => {
            if (observations.length === 0) {
                peers.delete(peer);
                return;
            }
            const byEndpoint = new Map(observations.map(observation => [observation.endpointId, observation]));
            peers.set(peer, { byEndpoint, receivedAtMs: nowMs });
        },
        get: (endpointId, nowMs) => {
            const found = [...peers.values()]
                .filter(({ receivedAtMs }) => nowMs - receivedAtMs < PEER_OBSERVATIONS_VALID_MS)
                .flatMap(({ byEndpoint }) => byEndpoint.get(endpointId) ?? []);
            return {
                unresponsiveReports: found.filter(observation => observation.isUnresponsive).length,
                failures: found.reduce((sum, observation) => sum + observation.failures, 0),
                maxSlowdown: found.reduce((largest, observation) => Math.max(largest, observation.slowdown ?? 1), 1),
            };
        },
    };
}
