/** Endpoint observations that hosts exchange, so that not every host has to lose a request to detect a failure. */

/** State of an endpoint as observed by one host, or by all hosts of a failure domain together. */
export interface EndpointObservation {
    readonly endpointId: string;
    /** Number of hosts to which the endpoint does not respond. */
    readonly unresponsiveReports: number;
    /** Decayed number of recent failures, see `getFailures`. */
    readonly failures: number;
    /** Processing time relative to the published figures; absent without a recent report. */
    readonly slowdown?: number;
}

/** Combined observations for one endpoint. */
export interface ObservationSummary {
    /** Number of peers that report the endpoint as unresponsive. */
    readonly unresponsiveReports: number;
    /** Sum of the failures that peers report. */
    readonly failures: number;
    /** Largest slowdown that a peer reports, 1 if none does. */
    readonly maxSlowdown: number;
}

/** Table of the latest observations by their source: a peer, or the digest of a failure domain. */
export interface EndpointObservationTable {
    /** Replaces the observations of a source. */
    readonly setSource: (source: string, observations: readonly EndpointObservation[], nowMs: number) => void;
    /** Combines the current observations of all sources, or of those that are accepted, by endpoint. */
    readonly summarize: (
        nowMs: number,
        acceptSource?: (source: string) => boolean,
    ) => ReadonlyMap<string, ObservationSummary>;
}

/** Validity of received observations, if a source sends no more. Peers send them twice a second. */
const OBSERVATIONS_VALID_MS = 2_000;

/** Summary of an endpoint that no peer has reported. */
export const emptyObservationSummary: ObservationSummary = { unresponsiveReports: 0, failures: 0, maxSlowdown: 1 };

export function createEndpointObservationTable(): EndpointObservationTable {
    const sources = new Map<
        string,
        { readonly observations: readonly EndpointObservation[]; readonly receivedAtMs: number; }
    >();
    return {
        setSource: (source, observations, nowMs) => {
            if (observations.length === 0) {
                sources.delete(source);
                return;
            }
            sources.set(source, { observations, receivedAtMs: nowMs });
        },
        summarize: (nowMs, acceptSource = () => true) => {
            const summaries = new Map<string, ObservationSummary>();
            for (const [source, { observations, receivedAtMs }] of sources) {
                if (nowMs - receivedAtMs < OBSERVATIONS_VALID_MS && acceptSource(source)) {
                    observations.forEach(each =>
                        summaries.set(each.endpointId, addObservation(summaries.get(each.endpointId), each))
                    );
                }
            }
            return summaries;
        },
    };
}

const addObservation = (
    summary: ObservationSummary = emptyObservationSummary,
    { unresponsiveReports, failures, slowdown = 1 }: EndpointObservation,
): ObservationSummary => ({
    unresponsiveReports: summary.unresponsiveReports + unresponsiveReports,
    failures: summary.failures + failures,
    maxSlowdown: Math.max(summary.maxSlowdown, slowdown),
});
