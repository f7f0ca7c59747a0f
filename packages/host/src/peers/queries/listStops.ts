import { findObject } from "@currantrill/core";
import type { EndpointId, StopFact } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";

/**
 * Lists the stops in effect that operators have set through a host without the platform, by endpoint. A stop ends when
 * a configuration with a higher lend epoch of the endpoint is active.
 */
export function listStops(context: HostContext): Map<EndpointId, StopFact> {
    const stops = [...context.fleet.gossip.facts.values()]
        .map(({ versioned }) => versioned.fact)
        .filter((fact): fact is StopFact => fact.kind === "stop")
        .filter(stop => stop.lendEpoch >= (getEndpoint(context, stop.endpoint)?.lendEpoch ?? 0));
    return new Map(stops.map(stop => [stop.endpoint, stop]));
}

const getEndpoint = (context: HostContext, endpoint: EndpointId) =>
    findObject(context.configuration.current, "endpoint", endpoint);
