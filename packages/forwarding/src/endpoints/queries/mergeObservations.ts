import type { EndpointObservation, ObservationSummary } from "../model/endpointObservation.js";
import { emptyObservationSummary } from "../model/endpointObservation.js";

/** Merges the observations of this host with the summaries of others, for hosts that do not receive each of them. */
export function mergeObservations(
    own: readonly EndpointObservation[],
    summaries: ReadonlyMap<string, ObservationSummary>,
): readonly EndpointObservation[] {
    const ownById = new Map(own.map(observation => [observation.endpointId, observation]));
    return [...new Set([...ownById.keys(), ...summaries.keys()])].map(endpointId => {
        const { unresponsiveReports, failures, maxSlowdown } = summaries.get(endpointId) ?? emptyObservationSummary;
        const observation = ownById.get(endpointId);
        const slowdown = Math.max(maxSlowdown, observation?.slowdown ?? 1);
        return {
            endpointId,
            unresponsiveReports: unresponsiveReports + (observation?.unresponsiveReports ?? 0),
            failures: failures + (observation?.failures ?? 0),
            ...(slowdown > 1 ? { slowdown } : {}),
        };
    });
}
