/** Peers that can relay connections to endpoints. */

/** Time for which a peer that could not connect is asked only if no other one is left: it may have lost its paths, too. */
const FAILURE_VALID_MS = 3_000;
/** Time for which a peer that has connected is asked rather than one of which nothing is known. */
const SUCCESS_VALID_MS = 5_000;
/** Connections of this host that a peer relays before one of which nothing is known is asked instead. */
const MAX_PREFERRED_CONNECTIONS = 6;

export interface RelayPeers {
    /**
     * Chooses the peer with the fewest relayed connections of this host, rather one that has connected before;
     * `undefined` if all are excluded.
     */
    readonly choose: (excluded: ReadonlySet<string>) => string | undefined;
    readonly recordFailure: (peer: string) => void;
    /** Counts a relayed connection until the returned function is called. */
    readonly recordOpen: (peer: string) => () => void;
    /** Returns whether a peer is still there and not shutting down. */
    readonly isServing: (peer: string) => boolean;
}

/** Creates the choice of peers. `listServing` returns the addresses of live peers that are not shutting down. */
export function createRelayPeers(listServing: () => readonly string[]): RelayPeers {
    const failedAtMs = new Map<string, number>();
    const connectedAtMs = new Map<string, number>();
    const openCounts = new Map<string, number>();
    const change = (peer: string, difference: number): void => {
        const count = (openCounts.get(peer) ?? 0) + difference;
        if (count === 0) {
            openCounts.delete(peer);
            return;
        }
        openCounts.set(peer, count);
    };
    const hasFailed = (peer: string): boolean =>
        performance.now() - (failedAtMs.get(peer) ?? -Infinity) < FAILURE_VALID_MS;
    const hasConnected = (peer: string): boolean =>
        performance.now() - (connectedAtMs.get(peer) ?? -Infinity) < SUCCESS_VALID_MS;
    const rank = (peer: string): number =>
        (hasFailed(peer) ? Number.MAX_SAFE_INTEGER / 2 : hasConnected(peer) ? 0 : MAX_PREFERRED_CONNECTIONS)
        + (openCounts.get(peer) ?? 0) + Math.random();
    return {
        choose: excluded => {
            const serving = listServing();
            [failedAtMs, connectedAtMs].forEach(times => {
                [...times.keys()].filter(peer => !serving.includes(peer)).forEach(peer => times.delete(peer));
            });
            const [best] = serving
                .filter(peer => !excluded.has(peer))
                .map(peer => ({ peer, rank: rank(peer) }))
                .sort((a, b) => a.rank - b.rank);
            return best?.peer;
        },
        recordFailure: peer => void failedAtMs.set(peer, performance.now()),
        recordOpen: peer => {
            let isOpen = true;
            failedAtMs.delete(peer);
            connectedAtMs.set(peer, performance.now());
            change(peer, 1);
            return () => {
                if (isOpen) {
                    isOpen = false;
                    change(peer, -1);
                }
            };
        },
        isServing: peer => listServing().includes(peer),
    };
}
