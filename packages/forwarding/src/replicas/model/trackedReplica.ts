/** A replica together with what is known of the store's last outage. */
import type Logger from "bunyan";
import { formatPosition, getEra } from "../../ports/storePosition.js";
import type { TableRow } from "../../ports/tableSource.js";
import { createOutageTracker, type OutageTracker } from "./outageTracker.js";
import { createRecoveryTracker, type Recovery, type RecoveryTracker } from "./recoveryTracker.js";
import { createTableReplica, type ReplicaUpdate, type TableReplica } from "./tableReplica.js";

export interface TrackedReplicaOptions {
    readonly table: string;
    readonly log: Logger;
    /**
     * Called with changed rows. `afterOutage` is true if they include those of an outage of the store: rows that expired
     * during it may be written again.
     */
    readonly onChange: (changed: readonly TableRow[], afterOutage: boolean) => void;
    /** Called when the replica has been replaced by that of a store which was restored from an older copy. */
    readonly onRestored: (era: number) => void;
}

export interface TrackedReplica extends Pick<OutageTracker, "countFailures" | "getRetryDelayMs"> {
    readonly get: () => TableReplica;
    readonly getRecovery: RecoveryTracker["get"];
    /** Records a failed call to the store. */
    readonly recordFailure: (error: unknown) => void;
    /** Records a response of the store, which is at `version`, before its rows are adopted. */
    readonly recordResponse: (version: number) => void;
    /** Records the recovery that a peer's copy carries, before its rows are adopted. */
    readonly recordPeerRecovery: (recovery: Recovery | undefined) => void;
    readonly adopt: (update: ReplicaUpdate) => void;
}

export function createTrackedReplica({ table, log, onChange, onRestored }: TrackedReplicaOptions): TrackedReplica {
    let replica = createTableReplica(table);
    const outage = createOutageTracker(table, log);
    const recovery = createRecoveryTracker();
    const reportRestored = (previous: number): void => {
        log.warn(
            { table, version: formatPosition(replica.version), previous: formatPosition(previous) },
            "replica: the store has been restored",
        );
        onRestored(getEra(replica.version));
    };
    return {
        get: () => replica,
        getRecovery: recovery.get,
        countFailures: outage.countFailures,
        getRetryDelayMs: outage.getRetryDelayMs,
        recordFailure: error => {
            if (outage.countFailures() === 0) {
                recovery.recordOutage(replica.version);
            }
            outage.recordFailure(error, replica.version);
        },
        recordResponse: version => {
            if (outage.end(replica.version)) {
                recovery.recordEnd(version);
            }
        },
        recordPeerRecovery: peerRecovery => {
            if (peerRecovery !== undefined) {
                recovery.recordPeer(peerRecovery);
            }
        },
        adopt: update => {
            const previous = replica.version;
            const isRestored = previous >= 0 && getEra(update.replica.version) > getEra(previous);
            replica = update.replica;
            if (isRestored) {
                recovery.recordRestored(replica.version);
            }
            // An empty first copy counts too: what appears after it is new.
            if (update.changed.length > 0 || previous < 0) {
                onChange(update.changed, recovery.mayHaveExpired(previous));
            }
            if (isRestored) {
                reportRestored(previous);
            }
        },
    };
}
