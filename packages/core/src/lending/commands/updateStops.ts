/** Local stops. A stop is kept until a ticket lends the endpoint again with a higher lend epoch. */
import type { StopFact } from "@currantrill/protocol";
import type { Configuration } from "../../model/configuration.js";
import { findObject } from "../../queries/listObjects.js";
import type { LocalStops } from "../model/lending.js";

/** Adds a stop from an operator or a peer. Of two stops of an endpoint, the one with the higher lend epoch is kept. */
export function addStop(stops: LocalStops, stop: StopFact): LocalStops {
    const known = stops[stop.endpoint];
    return known !== undefined && known.lendEpoch >= stop.lendEpoch ? stops : { ...stops, [stop.endpoint]: stop };
}

/**
 * Drops the stops that the active configuration has overridden with a higher lend epoch. A stop of an endpoint that the
 * configuration does not contain is kept: a ticket may add the endpoint again with the stopped epoch.
 */
export function dropStops(stops: LocalStops, configuration: Configuration): LocalStops {
    const kept = Object.entries(stops).filter(([endpoint, stop]) => {
        const activeEndpoint = findObject(configuration, "endpoint", endpoint);
        return activeEndpoint === undefined || activeEndpoint.lendEpoch <= stop.lendEpoch;
    });
    return Object.fromEntries(kept);
}
