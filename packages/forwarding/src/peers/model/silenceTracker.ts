import type { Peer } from "./peerTable.js";

/**
 * A peer that does not answer heartbeats for this time is silent. It is shorter than the time after which a host counts
 * as dead, because nothing is lost if the next host coordinates as well.
 */
const SILENCE_MS = 1_600;

/** Tracks to which peers this host sends heartbeats, and which of them do not answer. */
export interface SilenceTracker {
    /** Records the peers to which heartbeats are sent from now on. */
    readonly recordSent: (targets: readonly string[]) => void;
    readonly isSilent: (peer: Peer, nowMs: number) => boolean;
}

/** Creates a tracker of a host that has sent nothing. */
export function createSilenceTracker(): SilenceTracker {
    /** Times since which a peer has been sent heartbeats without a gap. */
    const askedSinceMs = new Map<string, number>();
    return {
        recordSent: targets => {
            const nowMs = performance.now();
            for (const target of askedSinceMs.keys()) {
                if (!targets.includes(target)) {
                    askedSinceMs.delete(target);
                }
            }
            for (const target of targets) {
                if (!askedSinceMs.has(target)) {
                    askedSinceMs.set(target, nowMs);
                }
            }
        },
        isSilent: (peer, nowMs) => {
            const sinceMs = askedSinceMs.get(peer.address);
            return sinceMs !== undefined && nowMs - Math.max(sinceMs, peer.lastMessageAtMs) > SILENCE_MS;
        },
    };
}
