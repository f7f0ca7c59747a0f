import type { SharedTable } from "../../replicas/model/sharedTable.js";
import { createTableReplica } from "../../replicas/model/tableReplica.js";
import type { ConfigurationManager } from "../model/configurationManager.js";

/** Name under which hosts copy the active configuration from each other. */
export const ACTIVE_CONFIGURATION = "active-configuration";

/**
 * Shares the active configuration between hosts, ordered by its own version instead of the store's order: a store that
 * is restored from an older copy loses confirmed versions, and a host that starts then has to get them from its peers.
 */
export const shareActiveConfiguration = (configuration: ConfigurationManager): SharedTable => ({
    getReplica: () => {
        const row = configuration.getActiveRow();
        const empty = createTableReplica(ACTIVE_CONFIGURATION);
        return row === undefined
            ? empty
            : { ...empty, rows: new Map([[row.key, row]]), version: row.version, lastChangeVersion: row.version };
    },
    getRecovery: () => undefined,
    // Normally the store, or a copy of its table, has brought the version by the end of the wait that this causes.
    isFollowing: () => true,
    adoptFromPeer: ({ rows }) => configuration.applyRows(rows),
});
