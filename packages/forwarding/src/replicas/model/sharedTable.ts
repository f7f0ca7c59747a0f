import type { TableChanges } from "../../ports/tableSource.js";
import type { Recovery } from "./recoveryTracker.js";
import type { TableReplica } from "./tableReplica.js";

/** A table that hosts copy from each other. */
export interface SharedTable {
    /** Returns the current replica. */
    readonly getReplica: () => TableReplica;
    /** Returns the end of an outage of the store while rows that expired during it may still be written again. */
    readonly getRecovery: () => Recovery | undefined;
    /** Returns whether this host receives changes from the store; otherwise it needs peers' copies. */
    readonly isFollowing: () => boolean;
    /** Adopts a peer's copy if it is newer. `recovery` is that of the peer. */
    readonly adoptFromPeer: (snapshot: TableChanges, recovery: Recovery | undefined) => void;
}
