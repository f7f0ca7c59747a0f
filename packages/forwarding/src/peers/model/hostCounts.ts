import type { Peer } from "./peerTable.js";

/** Validity of the announced number of hosts of a failure domain. */
const VALID_MS = 5_000;

/** Numbers of hosts by failure domain, of which a host knows only some itself. */
export interface HostCounts {
    /** Records the numbers that a digest announces. */
    readonly record: (counts: Readonly<Record<string, number>>, nowMs: number) => void;
    /** Merges the announced numbers with the known live peers and the local host. */
    readonly merge: (
        localDomain: string,
        peers: readonly Peer[],
        nowMs: number,
    ) => Readonly<Record<string, number>>;
}

/** Creates counts without announced numbers. */
export function createHostCounts(): HostCounts {
    const announced = new Map<string, { readonly count: number; readonly atMs: number; }>();
    return {
        record: (counts, nowMs) => {
            for (const [domain, count] of Object.entries(counts)) {
                announced.set(domain, { count, atMs: nowMs });
            }
        },
        merge: (localDomain, peers, nowMs) => {
            const counts: Record<string, number> = { [localDomain]: 1 };
            for (const { failureDomain } of peers) {
                if (failureDomain !== undefined) {
                    counts[failureDomain] = (counts[failureDomain] ?? 0) + 1;
                }
            }
            for (const [domain, { count, atMs }] of announced) {
                if (domain !== localDomain && nowMs - atMs < VALID_MS) {
                    counts[domain] = Math.max(counts[domain] ?? 0, count);
                }
            }
            return counts;
        },
    };
}
