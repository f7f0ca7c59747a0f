/** Keeps the entries of the quarantine in the platform's store, so that they outlast the loss of all hosts. */
import type Logger from "bunyan";
import type { TableSource } from "../../ports/tableSource.js";
import type { QuarantineEntry } from "../model/quarantineEntry.js";
import { createSuspectKey } from "../model/suspectKey.js";
import { describeSuspect } from "../queries/describeSuspect.js";
import { decodeQuarantineRow, encodeQuarantineRow } from "../queries/quarantineRowCodec.js";

/** Interval between two tries to read or write while the store fails. */
const RETRY_MS = 1_000;
/** Longest delay of a write, in which another host may make it needless. */
const MAX_WRITE_DELAY_MS = 1_000;
/** Interval at which a host checks whether it has to read the table. */
const CHECK_MS = 200;

export interface QuarantineStore {
    /** Writes an entry, unless it is replaced or has been written by then. */
    readonly save: (entry: QuarantineEntry) => void;
    /** Removes the row of an entry. */
    readonly remove: (entry: QuarantineEntry) => void;
    /** Writes an entry that follows on `known`. Resolves with whether no other host has changed the row before. */
    readonly replace: (known: QuarantineEntry, entry: QuarantineEntry) => Promise<boolean>;
    readonly close: () => void;
}

export interface QuarantineStoreOptions {
    readonly source: TableSource;
    readonly table: string;
    readonly log: Logger;
    /** Whether this host reads the store; the others learn the entries from it. */
    readonly shouldFollow: () => boolean;
    /** Receives the entries that the store has. */
    readonly onRead: (entries: readonly QuarantineEntry[]) => void;
    /** Returns the current entry of the same suspect. */
    readonly getCurrent: (entry: QuarantineEntry) => QuarantineEntry | undefined;
}

/** Creates the access, and reads the table once when this host follows the store. */
export function createQuarantineStore(options: QuarantineStoreOptions): QuarantineStore {
    const { source, table, log } = options;
    const timers = new Set<NodeJS.Timeout>();
    const schedule = (delayMs: number, run: () => void): void => {
        const timer = setTimeout(() => {
            timers.delete(timer);
            run();
        }, delayMs);
        timers.add(timer);
    };
    const decode = (key: string, value: Buffer): readonly QuarantineEntry[] => {
        const entry = decodeQuarantineRow(value, performance.now());
        if (entry === undefined) {
            log.warn({ row: key }, "quarantine: invalid row ignored");
            return [];
        }
        return [entry];
    };
    const read = (): void => {
        if (!options.shouldFollow()) {
            schedule(CHECK_MS, read);
            return;
        }
        source.readTable(table).then(
            ({ rows }) =>
                options.onRead(rows.flatMap(({ key, value }) => value === undefined ? [] : decode(key, value))),
            (error: unknown) => {
                log.warn({ err: error }, "quarantine: could not read the table, retrying");
                schedule(RETRY_MS * (0.5 + Math.random()), read);
            },
        );
    };
    const replace: QuarantineStore["replace"] = async (known, entry) => {
        const { rows } = await source.readTable(table);
        const row = rows.find(({ key }) => key === describeKey(known));
        const [stored] = row?.value === undefined ? [] : decode(row.key, row.value);
        if (stored !== undefined && stored.revision > known.revision) {
            options.onRead([stored]);
            return false;
        }
        return source.replaceRow(table, describeKey(entry), encodeQuarantineRow(entry), row?.version ?? 0);
    };
    const write = (entry: QuarantineEntry): void => {
        if (options.getCurrent(entry)?.revision !== entry.revision) {
            return;
        }
        // Under a condition, because another host may have made a trial meanwhile of which this one has not heard.
        replace({ ...entry, revision: entry.revision - 1 }, entry).catch((error: unknown) => {
            log.warn(
                { err: error, ...describeSuspect(entry.suspect) },
                "quarantine: could not write the entry, retrying",
            );
            schedule(RETRY_MS * (0.5 + Math.random()), () => write(entry));
        });
    };
    read();
    return {
        save: entry => schedule(MAX_WRITE_DELAY_MS * Math.random(), () => write(entry)),
        remove: entry => {
            source.removeRow(table, describeKey(entry)).catch((error: unknown) =>
                log.warn(
                    { err: error, ...describeSuspect(entry.suspect) },
                    "quarantine: could not remove the row of a forgotten entry",
                )
            );
        },
        replace,
        close: () => timers.forEach(timer => clearTimeout(timer)),
    };
}

const describeKey = ({ service, suspect }: QuarantineEntry): string => createSuspectKey(service, suspect);
