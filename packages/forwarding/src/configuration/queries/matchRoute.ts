import type { ServiceId } from "@currantrill/protocol";
import type { ConfigurationIndex } from "../model/configurationIndex.js";
import type { Route } from "../model/servingConfiguration.js";

/** Returns the host name of the header `host`, without its port. */
export const parseHostName = (hostHeader: string): string => hostHeader.toLowerCase().replace(/:\d+$/, "");

/** Finds the route of a request: among the routes of its host, the one with the longest prefix of the path. */
export function matchRoute(index: ConfigurationIndex, hostHeader: string, target: string): Route | undefined {
    const host = parseHostName(hostHeader);
    const path = target.split("?", 1)[0] ?? "";
    return index.routesByHost.get(host)?.find(route => path.startsWith(route.prefix));
}

/**
 * Chooses a service by the weights of a route; `random` is a number from 0 to 1. Returns `undefined` if no service has
 * a positive weight.
 */
export function chooseService(route: Route, random: number): ServiceId | undefined {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let remaining = random * total;
    for (const share of route.shares) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return route.shares.find(share => share.weight > 0)?.service;
}
