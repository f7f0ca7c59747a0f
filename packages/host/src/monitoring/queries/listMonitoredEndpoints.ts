import { type EndpointObject, findObject, listLiveHosts, listMonitors, listObjects } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** An endpoint that this host monitors, with its rank among the monitors of the endpoint. */
export interface MonitoredEndpoint {
    readonly endpoint: EndpointObject;
    /** 0 for the monitor that publishes. The one with rank 1 publishes when digests of the first one fail to arrive. */
    readonly rank: number;
}

/** Lists the engines of the local failure domain that this host monitors. Plain services have no load reports. */
export function listMonitoredEndpoints(context: HostContext): MonitoredEndpoint[] {
    const { fleet, configuration } = context;
    const hosts = listLiveHosts(fleet.membership, performance.now(), fleet.failureDomain);
    return listObjects(configuration.current, "endpoint")
        .filter(endpoint => endpoint.failureDomain === fleet.failureDomain)
        .filter(endpoint => findObject(configuration.current, "pool", endpoint.pool)?.serves === "engine")
        .map(endpoint => ({ endpoint, rank: listMonitors(endpoint.name, hosts).indexOf(fleet.self) }))
        .filter(({ rank }) => rank >= 0);
}
