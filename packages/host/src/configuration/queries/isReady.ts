import type { HostContext } from "../../model/hostContext.js";

/**
 * Whether the host may serve. A starting host has to know the newest configuration that it can know: the platform's, or
 * while the platform is down the highest among all seeds that can be reached, at least one.
 */
export function isReady(context: HostContext): boolean {
    return !context.draining && (context.configuration.hasReadPlatform || hasAllSeeds(context));
}

function hasAllSeeds(context: HostContext): boolean {
    const { fleet, settings } = context;
    const seeds = settings.seeds.filter(seed => seed !== settings.listen.peers);
    const hasSnapshot = [...fleet.connections.values()].some(connection => connection.hasSentSnapshot);
    return hasSnapshot && seeds.every(seed => fleet.settledSeeds.has(seed));
}
