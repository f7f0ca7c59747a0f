/**
 * Largest size of the fleet that this host has known. A host that is cut off counts only itself, and must not take the
 * whole rate of an endpoint for its own.
 */

/** Time for which the former size of a failure domain with live peers is remembered. */
const KEEP_MS = 600_000;

/** What a host sees of its fleet at a moment. */
export interface VisibleFleet {
    /** Live hosts by failure domain, including this one. */
    readonly counts: Readonly<Record<string, number>>;
    readonly localDomain: string;
    /** Live hosts of the local failure domain, including this one, in an order that is the same on all of them. */
    readonly localHosts: readonly string[];
}

export interface FleetMemory {
    readonly record: (visible: VisibleFleet, nowMs: number) => void;
    /** Returns whether a peer has ever been seen. */
    readonly hasSeenPeer: () => boolean;
    /** Returns the number of remembered hosts, at least 1. */
    readonly countHosts: () => number;
    /** Returns the position of this host among the remembered ones, from 0 on. */
    readonly getRank: () => number;
}

interface DomainSize {
    readonly count: number;
    readonly atMs: number;
}

/** Creates a memory without a peer. `address` is that of this host. */
export function createFleetMemory(address: string): FleetMemory {
    const sizes = new Map<string, DomainSize>();
    let localDomain = "";
    let localHosts: readonly string[] = [address];
    let hasSeenPeer = false;
    const countHosts = (): number => Math.max(1, sum([...sizes.values()]));
    return {
        record: (visible, nowMs) => {
            localDomain = visible.localDomain;
            for (const [domain, count] of Object.entries(visible.counts)) {
                const known = sizes.get(domain);
                const isLost = count === (domain === localDomain ? 1 : 0);
                hasSeenPeer ||= !isLost;
                const isOutdated = known === undefined || count >= known.count
                    || !isLost && nowMs - known.atMs > KEEP_MS;
                if (isOutdated) {
                    sizes.set(domain, { count, atMs: nowMs });
                    localHosts = domain === localDomain ? visible.localHosts : localHosts;
                }
            }
        },
        hasSeenPeer: () => hasSeenPeer,
        countHosts,
        getRank: () => {
            const before = [...sizes].filter(([domain]) => domain < localDomain).map(([, size]) => size);
            return (sum(before) + Math.max(0, localHosts.indexOf(address))) % countHosts();
        },
    };
}

const sum = (sizes: readonly DomainSize[]): number => sizes.reduce((total, { count }) => total + count, 0);
