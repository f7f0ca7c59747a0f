import { type EndpointObject, findObject, listLiveHosts, listObjects, listWatchers } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

export interface WatchedEndpoint {
    readonly endpoint: EndpointObject;
    /** 0 for the watcher that publishes; the other one publishes when the first has gone silent. */
    readonly rank: number;
}

/** Lists the engines of the own domain that this host watches. Plain services have no reports. */
export function listWatchedEndpoints(context: HostContext): WatchedEndpoint[] {
    const { fleet, configuration } = context;
    const hosts = listLiveHosts(fleet.membership, performance.now(), fleet.failureDomain);
    return listObjects(configuration.current, "endpoint")
        .filter(endpoint => endpoint.failureDomain === fleet.failureDomain)
        .filter(endpoint => findObject(configuration.current, "pool", endpoint.pool)?.serves === "engine")
        .map(endpoint => ({ endpoint, rank: listWatchers(endpoint.name, hosts).indexOf(fleet.self) }))
        .filter(({ rank }) => rank >= 0);
}
