/** The evacuated failure domains, as known to this host. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { PlatformRows, RowFinding } from "../../ports/platformRows.js";
import { formatPosition, getEra } from "../../ports/storePosition.js";
import type { TableRow } from "../../ports/tableSource.js";
import { createDomainCheck } from "../commands/createDomainCheck.js";
import type { Evacuation, EvacuationRemoval, RetainedEvacuation, SharedEvacuations } from "./evacuation.js";
import { createEvacuationTable, type EvacuationTableOptions } from "./evacuationTable.js";

/**
 * Time for which an evacuation stays in effect without its row after the store was restored from an older copy. The
 * operator writes the row again within seconds, and it has to be in effect within 5 s, or 11 s while the store is
 * unstable.
 */
export const RETENTION_MS = 12_000;

/** Time for which a removal is told to peers, so that it reaches those that retain the evacuation or will do so. */
const SHARE_REMOVAL_MS = 2 * RETENTION_MS;

export interface EvacuationRegistry {
    /** Applies changed rows of the operator's table; other rows than evacuations are ignored. */
    readonly applyRows: (changed: readonly TableRow[]) => void;
    readonly isEvacuated: (domain: FailureDomainId) => boolean;
    /** Lists the evacuations in effect. */
    readonly list: () => readonly Evacuation[];
    /** Returns the retained evacuations and the recent removals, for peers. */
    readonly share: () => SharedEvacuations;
    /** Adopts a peer's retained evacuation, unless this host has its row or knows of a later removal. */
    readonly adoptRetained: (retained: RetainedEvacuation) => void;
    /** Adopts a removal that a peer has seen. It ends a retained evacuation; a row that is present still counts. */
    readonly adoptRemoval: (removal: EvacuationRemoval) => void;
    /** Restarts the time of the retained evacuations, because the store has been restored once more. */
    readonly renewRetained: () => void;
    /** Logs once if no endpoint of an evacuated domain is known, and once if all known domains are evacuated. */
    readonly checkDomains: (known: ReadonlySet<FailureDomainId>) => void;
    readonly close: () => void;
}

export interface EvacuationRegistryOptions extends EvacuationTableOptions {
    readonly rows: Pick<PlatformRows, "decodeEvacuation">;
}

/** Creates a registry without evacuations. */
export function createEvacuationRegistry(options: EvacuationRegistryOptions): EvacuationRegistry {
    const { rows, log } = options;
    const evacuations = createEvacuationTable(options);
    /** The last removals that were seen here or by a peer. */
    const removals = new Map<FailureDomainId, EvacuationRemoval & { readonly atMs: number; }>();
    const isRemovedAfter = (domain: FailureDomainId, position: number): boolean =>
        (removals.get(domain)?.position ?? -1) > position;
    const recordRemoval = (domain: FailureDomainId, position: number): void =>
        void removals.set(domain, { domain, position, atMs: performance.now() });

    const begin = (domain: FailureDomainId, position: number, finding: RowFinding | undefined): void => {
        const known = evacuations.get(domain);
        const state = evacuations.put({ domain, position });
        if (known === undefined) {
            log.info({ domain, row: formatPosition(position) }, "evacuation: began");
        }
        else if (known.endsAtMs !== undefined) {
            log.info({ domain, row: formatPosition(position) }, "evacuation: row written again");
        }
        if (finding !== undefined && !state.hasLoggedFinding) {
            state.hasLoggedFinding = true;
            log.warn({ domain, ...finding }, "evacuation: row not readable, the domain is evacuated");
        }
    };
    const remove = (domain: FailureDomainId, position: number): void => {
        const known = evacuations.get(domain);
        // The first removal of a later era comes from the full read of a restored store: the row is missing there. Each
        // row that is not missing has got a position of that era by this read.
        const isMissing = known !== undefined && known.endsAtMs === undefined
            && getEra(position) > getEra(known.position);
        if (isMissing && !isRemovedAfter(domain, known.position)) {
            log.warn({ domain, remainingMs: RETENTION_MS }, "evacuation: row missing in a restored store, retained");
            evacuations.retain({ domain, position: known.position, remainingMs: RETENTION_MS });
            return;
        }
        recordRemoval(domain, position);
        evacuations.end(domain, "row removed");
    };
    const listRetained = (): readonly RetainedEvacuation[] =>
        evacuations.list().flatMap(({ domain, position, endsAtMs }) =>
            endsAtMs === undefined ? [] : [{ domain, position, remainingMs: endsAtMs - performance.now() }]
        );
    return {
        applyRows: changed => {
            for (const { key, value, version } of changed) {
                const decoded = rows.decodeEvacuation(key, value);
                if (decoded !== undefined && value !== undefined) {
                    begin(decoded.domain, version, decoded.finding);
                }
                else if (decoded !== undefined) {
                    remove(decoded.domain, version);
                }
            }
        },
        isEvacuated: domain => evacuations.get(domain) !== undefined,
        list: evacuations.list,
        share: () => ({
            retained: listRetained(),
            removed: [...removals.values()].filter(({ atMs }) => performance.now() - atMs < SHARE_REMOVAL_MS),
        }),
        adoptRemoval: ({ domain, position }) => {
            if (isRemovedAfter(domain, position - 1)) {
                return;
            }
            recordRemoval(domain, position);
            const known = evacuations.get(domain);
            if (known?.endsAtMs !== undefined && known.position < position) {
                evacuations.end(domain, "row removed");
            }
        },
        adoptRetained: ({ domain, position, remainingMs }) => {
            const isOutdated = evacuations.get(domain) !== undefined || isRemovedAfter(domain, position);
            if (!isOutdated && remainingMs > 0) {
                log.warn({ domain, remainingMs: Math.round(remainingMs) }, "evacuation: adopted from a peer, retained");
                evacuations.retain({ domain, position, remainingMs: Math.min(remainingMs, RETENTION_MS) });
            }
        },
        renewRetained: () =>
            listRetained().forEach(retained => evacuations.retain({ ...retained, remainingMs: RETENTION_MS })),
        checkDomains: createDomainCheck(evacuations, log),
        close: evacuations.close,
    };
}
