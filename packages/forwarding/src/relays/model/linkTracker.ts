/** Tracks which endpoints this host reaches only through peers. */
import type Logger from "bunyan";

/** Time after the last connection through a peer for which an endpoint counts as reached only in this way. */
const DETOUR_VALID_MS = 10_000;
/** Number of endpoints that are reached only through peers from which on the host takes its paths for lost. */
const MIN_STRANDED_ENDPOINTS = 2;
/**
 * Connections that may be tried through peers in a second without success. An endpoint that has ended is not reached
 * through a peer either; the limit keeps the tries few while many endpoints have ended.
 */
const TRIALS_PER_SECOND = 4;

export interface LinkTracker {
    /** Records a direct connection. If the endpoint was reached only through peers before, the paths are back. */
    readonly recordDirect: (address: string) => void;
    /**
     * Records that a peer has reached an endpoint that this host has not. `isHanging`: its own connection got no reply,
     * so that its open ones are likely to get none either.
     */
    readonly recordRelayed: (address: string, isHanging: boolean) => void;
    /** Returns whether a connection is to be opened through a peer at once, beside the direct one. */
    readonly isDetoured: (address: string) => boolean;
    /** Returns whether the host has lost its own paths to endpoints. */
    readonly isStranded: () => boolean;
    /** Returns whether a connection that fails may be tried through a peer, and counts it. */
    readonly admitTrial: (address: string) => boolean;
    /** Lists the endpoints that this host reaches only through peers. */
    readonly listDetours: () => readonly string[];
}

export interface LinkTrackerOptions {
    readonly log: Logger;
    readonly onRelayed: (address: string, isHanging: boolean) => void;
    /** Called when the host begins to be stranded. */
    readonly onStranded: () => void;
}

export function createLinkTracker({ log, onRelayed, onStranded }: LinkTrackerOptions): LinkTracker {
    /** Times of the last relayed connections. */
    const detours = new Map<string, number>();
    const trials: number[] = [];
    let wasStranded = false;
    const listDetours = (): readonly string[] => {
        const nowMs = performance.now();
        for (const [address, atMs] of detours) {
            if (nowMs - atMs >= DETOUR_VALID_MS) {
                detours.delete(address);
            }
        }
        return [...detours.keys()];
    };
    const isStranded = (): boolean => {
        const endpoints = listDetours().length;
        const isNow = endpoints >= MIN_STRANDED_ENDPOINTS;
        if (isNow !== wasStranded) {
            wasStranded = isNow;
            log.warn({ endpoints }, isNow ? "links: endpoints are reached through peers" : "links: paths are back");
        }
        return isNow;
    };
    return {
        recordDirect: address => {
            if (detours.has(address)) {
                detours.clear();
                isStranded();
            }
        },
        recordRelayed: (address, isHanging) => {
            const wasKnown = wasStranded;
            detours.set(address, performance.now());
            trials.pop();
            onRelayed(address, isHanging);
            if (isStranded() && !wasKnown) {
                onStranded();
            }
        },
        isDetoured: address => listDetours().includes(address),
        isStranded,
        admitTrial: address => {
            if (isStranded() || detours.has(address)) {
                return true;
            }
            const nowMs = performance.now();
            while (trials[0] !== undefined && nowMs - trials[0] >= 1_000) {
                trials.shift();
            }
            if (trials.length >= TRIALS_PER_SECOND) {
                return false;
            }
            trials.push(nowMs);
            return true;
        },
        listDetours,
    };
}
