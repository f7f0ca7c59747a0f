import { toFailureDomainId } from "@currantrill/protocol";
import type { TableRow } from "../../ports/tableSource.js";
import type { SharedTable } from "../../replicas/model/sharedTable.js";
import { createTableReplica } from "../../replicas/model/tableReplica.js";
import type { EvacuationRemoval } from "../model/evacuation.js";
import type { EvacuationRegistry } from "../model/evacuationRegistry.js";

/** Name under which hosts copy retained evacuations from each other. */
export const RETAINED_EVACUATIONS = "retained-evacuations";

/** Content of a row for a removal; that of a retained evacuation is the time that is left, in milliseconds. */
const REMOVED = "removed";

/**
 * Shares what copies of the operator's table do not show: the evacuations whose rows are missing since the store was
 * restored, which a host that starts then cannot read, and the removals of rows that a host does not have. What is announced
 * is the position of the newest of them. The version is that of the newest that was adopted, whatever this host knows by
 * itself: it may know of a later change and lack an earlier one. So a host copies each one at most once.
 */
export function shareRetainedEvacuations(registry: EvacuationRegistry): SharedTable {
    let adoptedVersion = -1;
    return {
        getReplica: () => {
            const { retained, removed } = registry.share();
            const rows = [
                ...removed.map(removal => createRow(removal, REMOVED)),
                ...retained.map(each => createRow(each, String(Math.round(each.remainingMs)))),
            ];
            return {
                ...createTableReplica(RETAINED_EVACUATIONS),
                rows: new Map(rows.map(row => [row.key, row])),
                version: adoptedVersion,
                lastChangeVersion: Math.max(-1, ...rows.map(row => row.version)),
            };
        },
        getRecovery: () => undefined,
        // The store does not have these rows, so that there is nothing to wait for.
        isFollowing: () => false,
        adoptFromPeer: copy => {
            for (const { key, version: position, value } of copy.rows) {
                const domain = toFailureDomainId(key);
                const content = value?.toString();
                adoptedVersion = Math.max(adoptedVersion, position);
                if (content === REMOVED) {
                    registry.adoptRemoval({ domain, position });
                    continue;
                }
                registry.adoptRetained({ domain, position, remainingMs: Number(content) });
            }
        },
    };
}

const createRow = ({ domain, position }: EvacuationRemoval, content: string): TableRow => ({
    key: domain,
    version: position,
    value: Buffer.from(content),
});
