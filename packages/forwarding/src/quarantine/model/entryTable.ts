import type { ServiceId } from "@currantrill/protocol";
import type { QuarantineEntry } from "./quarantineEntry.js";
import type { SuspectId } from "./suspect.js";
import { createSuspectKey, type SuspectKey } from "./suspectKey.js";

/** Limit on entries, of which the oldest ones are dropped. What crashes endpoints is rare. */
const MAX_ENTRIES = 64;

/** Entries of the quarantine by suspect. */
export interface EntryTable {
    readonly get: (service: ServiceId, suspect: SuspectId) => QuarantineEntry | undefined;
    /** Returns the entry of the first of the suspects that is isolated. */
    readonly findIsolated: (service: ServiceId, suspects: readonly SuspectId[]) => QuarantineEntry | undefined;
    /** Puts an entry. Returns the entries that had to be dropped. */
    readonly put: (entry: QuarantineEntry) => readonly QuarantineEntry[];
    /** Drops entries that have not changed since a time, and returns them. */
    readonly expire: (beforeMs: number) => readonly QuarantineEntry[];
    readonly list: () => readonly QuarantineEntry[];
}

/** Creates an empty table. */
export function createEntryTable(): EntryTable {
    const entries = new Map<SuspectKey, QuarantineEntry>();
    const drop = (dropped: readonly QuarantineEntry[]): readonly QuarantineEntry[] => {
        dropped.forEach(({ service, suspect }) => entries.delete(createSuspectKey(service, suspect)));
        return dropped;
    };
    const get = (service: ServiceId, suspect: SuspectId): QuarantineEntry | undefined =>
        entries.get(createSuspectKey(service, suspect));
    return {
        get,
        findIsolated: (service, suspects) =>
            entries.size === 0
                ? undefined
                : suspects.map(suspect => get(service, suspect)).find(entry => entry?.isIsolated === true),
        put: entry => {
            entries.set(createSuspectKey(entry.service, entry.suspect), entry);
            const byAge = [...entries.values()].sort((a, b) => b.changedAtMs - a.changedAtMs);
            return drop(byAge.slice(MAX_ENTRIES));
        },
        expire: beforeMs => drop([...entries.values()].filter(entry => entry.changedAtMs < beforeMs)),
        list: () => [...entries.values()],
    };
}
