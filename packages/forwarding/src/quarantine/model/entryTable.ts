import type { ServiceId } from "@currantrill/protocol";
import { createPartKey, type PartKey } from "./partKey.js";
import type { QuarantineEntry } from "./quarantineEntry.js";

/** Limit on entries, of which the oldest ones are dropped. Parts that crash endpoints are rare. */
const MAX_ENTRIES = 64;

/** Entries of the quarantine by part. */
export interface EntryTable {
    readonly get: (service: ServiceId, part: string) => QuarantineEntry | undefined;
    /** Returns the entry of the first of the parts that is isolated. */
    readonly findIsolated: (service: ServiceId, parts: readonly string[]) => QuarantineEntry | undefined;
    /** Puts an entry. Returns the entries that had to be dropped. */
    readonly put: (entry: QuarantineEntry) => readonly QuarantineEntry[];
    /** Drops entries that have not changed since a time, and returns them. */
    readonly expire: (beforeMs: number) => readonly QuarantineEntry[];
    readonly list: () => readonly QuarantineEntry[];
}

/** Creates an empty table. */
export function createEntryTable(): EntryTable {
    const entries = new Map<PartKey, QuarantineEntry>();
    const drop = (dropped: readonly QuarantineEntry[]): readonly QuarantineEntry[] => {
        dropped.forEach(({ service, part }) => entries.delete(createPartKey(service, part)));
        return dropped;
    };
    const get = (service: ServiceId, part: string): QuarantineEntry | undefined =>
        entries.get(createPartKey(service, part));
    return {
        get,
        findIsolated: (service, parts) =>
            entries.size === 0
                ? undefined
                : parts.map(part => get(service, part)).find(entry => entry?.isIsolated === true),
        put: entry => {
            entries.set(createPartKey(entry.service, entry.part), entry);
            const byAge = [...entries.values()].sort((a, b) => b.changedAtMs - a.changedAtMs);
            return drop(byAge.slice(MAX_ENTRIES));
        },
        expire: beforeMs => drop([...entries.values()].filter(entry => entry.changedAtMs < beforeMs)),
        list: () => [...entries.values()],
    };
}
