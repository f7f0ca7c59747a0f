/** Tracks the end of the last outage of the store, around which removed rows may only have expired. */

/** Time after an outage of the store in which rows that expired during it may be written again. */
const EXPIRED_ROWS_GRACE_MS = 2_300;

/** The end of an outage of the store. */
export interface Recovery {
    /** Position of the store when it was available again. Rows that were removed later have not expired. */
    readonly version: number;
    /** Time in which the expired rows may still be written again. */
    readonly remainingMs: number;
}

export interface RecoveryTracker {
    /** Records the first failed call of an outage, while the replica is at `version`. */
    readonly recordOutage: (version: number) => void;
    /** Records that the store is available again, at `version`. */
    readonly recordEnd: (version: number) => void;
    /** Records that the store has been restored from an older copy and is at `version`. Rows of before may be missing. */
    readonly recordRestored: (version: number) => void;
    /** Records the recovery that a peer knows of; a peer may have heard the store earlier. */
    readonly recordPeer: (recovery: Recovery) => void;
    /** Returns the recovery until its time has elapsed. */
    readonly get: () => Recovery | undefined;
    /** Returns whether rows that are removed from a replica at `version` may have expired during the outage. */
    readonly mayHaveExpired: (version: number) => boolean;
}

export function createRecoveryTracker(): RecoveryTracker {
    let recovery: { readonly version: number; readonly endsAtMs: number; } | undefined;
    let outageVersion = -1;
    let isKnownFromPeer = false;
    const get = (): Recovery | undefined => {
        const remainingMs = (recovery?.endsAtMs ?? 0) - performance.now();
        return recovery === undefined || remainingMs <= 0 ? undefined : { version: recovery.version, remainingMs };
    };
    const set = (version: number, remainingMs: number): void => {
        recovery = { version, endsAtMs: performance.now() + remainingMs };
    };
    return {
        recordOutage: version => {
            outageVersion = version;
            isKnownFromPeer = false;
            recovery = undefined;
        },
        recordEnd: version => {
            // The peer has noticed the end earlier: rows that were removed since have not expired.
            if (!isKnownFromPeer) {
                set(version, EXPIRED_ROWS_GRACE_MS);
            }
            isKnownFromPeer = false;
        },
        recordRestored: version => set(version, EXPIRED_ROWS_GRACE_MS),
        recordPeer: peer => {
            // A recovery at an earlier position is that of an earlier outage.
            if (peer.version < outageVersion) {
                return;
            }
            isKnownFromPeer = true;
            const known = get();
            if (known === undefined || peer.version < known.version) {
                set(peer.version, Math.min(peer.remainingMs, EXPIRED_ROWS_GRACE_MS));
            }
        },
        get,
        mayHaveExpired: version => {
            const known = get();
            return known !== undefined && version < known.version;
        },
    };
}
