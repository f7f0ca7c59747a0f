import type { TableChanges } from "../../ports/tableSource.js";
import type { TableReplica } from "./tableReplica.js";

/** A table that hosts copy from each other. */
export interface SharedTable {
    /** Returns the current replica. */
    readonly getReplica: () => TableReplica;
    /** Returns whether rows that expired during an outage of the store may still be written again. */
    readonly isAfterOutage: () => boolean;
    /** Returns whether this host receives changes from the store; otherwise it needs peers' copies. */
    readonly isFollowing: () => boolean;
    /** Adopts a peer's copy if it is newer. `afterOutage` is the peer's `isAfterOutage`. */
    readonly adoptFromPeer: (snapshot: TableChanges, afterOutage: boolean) => void;
}
