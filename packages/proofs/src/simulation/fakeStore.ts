/** In-memory fake of the platform's transactional table service and object store, with delays and injected faults. */
import type { FaultPlan } from "./faults.js";
import type { HostProcess } from "./hostProcess.js";
import type { Random } from "./random.js";
import type { Timeline } from "./timeline.js";

/** A row with its version, which counts the writes of its key from 1. */
export interface StoredRow {
    readonly version: number;
    readonly value: unknown;
}

/** A conditional transaction: all writes are applied if every row has the expected version, otherwise none. */
export interface StoreWrite {
    /** Expected versions; 0 for a row that must not exist. */
    readonly conditions: readonly { readonly key: string; readonly version: number; }[];
    /** `undefined` deletes the row. */
    readonly writes: readonly { readonly key: string; readonly value: unknown; }[];
}

/** `refused` was certainly not executed; `lost` got no answer and may have been executed. */
export type WriteResult =
    | { readonly type: "committed"; readonly versions: ReadonlyMap<string, number>; }
    | { readonly type: "conflict" | "refused" | "lost"; };

/** The store as a host sees it through its connections, with functions to set up and observe a run. */
export interface FakeStore {
    readonly read: (process: HostProcess, key: string, done: (row: StoredRow | undefined | "failed") => void) => void;
    readonly write: (process: HostProcess, write: StoreWrite, done: (result: WriteResult) => void) => void;
    /** Stores a row before the run begins. */
    readonly put: (key: string, value: unknown) => void;
    /** The stored rows, read directly, without delays or faults. */
    readonly rows: ReadonlyMap<string, StoredRow>;
    /** Called after each committed write. */
    readonly onCommit: (observe: (write: StoreWrite) => void) => void;
}

/** Time after which a client stops waiting for an answer. */
const CLIENT_TIMEOUT_MS = 1_000;
const MAX_SLOW_DELAY_MS = 3_000;

export interface StoreContext {
    readonly timeline: Timeline;
    readonly faults: FaultPlan;
    readonly random: Random;
}

export function createFakeStore(context: StoreContext): FakeStore {
    const rows = new Map<string, StoredRow>();
    // Versions keep counting after a delete, so that an old condition cannot match a row that was created again.
    const versions = new Map<string, number>();
    const observers: ((write: StoreWrite) => void)[] = [];
    const execute = ({ conditions, writes }: StoreWrite): WriteResult => {
        if (conditions.some(({ key, version }) => (rows.get(key)?.version ?? 0) !== version)) {
            return { type: "conflict" };
        }
        const written = new Map<string, number>();
        for (const { key, value } of writes) {
            const version = (versions.get(key) ?? 0) + 1;
            versions.set(key, version);
            written.set(key, version);
            if (value === undefined) {
                rows.delete(key);
            }
            else {
                rows.set(key, { version, value: structuredClone(value) });
            }
        }
        observers.forEach(observe => observe({ conditions, writes }));
        return { type: "committed", versions: written };
    };
    return {
        rows,
        put: (key, value) => {
            versions.set(key, 1);
            rows.set(key, { version: 1, value: structuredClone(value) });
        },
        onCommit: observe => observers.push(observe),
        read: (process, key, done) => sendToStore(context, process, () => rows.get(key), "failed", "failed", done),
        write: (process, write, done) =>
            sendToStore<WriteResult>(
                context,
                process,
                () => execute(write),
                { type: "refused" },
                { type: "lost" },
                done,
            ),
    };
}

/** Sends one request to the store. `done` is called exactly once, unless the process ends first. */
function sendToStore<T>(
    { timeline, faults, random }: StoreContext,
    process: HostProcess,
    execute: () => T,
    refused: T,
    lost: T,
    done: (result: T) => void,
): void {
    let pending = true;
    const finish = (result: T): void => {
        if (pending) {
            pending = false;
            done(result);
        }
    };
    process.setTimer(CLIENT_TIMEOUT_MS, () => finish(lost));
    if (faults.isActive("cutFromStore", process.index)) {
        return;
    }
    const slowMs = faults.isActive("storeSlow") ? random.sample(0, MAX_SLOW_DELAY_MS) : 0;
    timeline.schedule(random.sample(1, 10) + slowMs, () => {
        const result = faults.isActive("storeOutage") ? refused : execute();
        if (faults.isActive("storeLosesAnswers") && random.sample(0, 1) === 0) {
            // Half of these connections are closed at once; the others stay open until the client's time-out.
            if (random.sample(0, 1) === 0) {
                timeline.schedule(1, () => process.deliver(() => finish(lost)));
            }
            return;
        }
        if (!faults.isActive("cutFromStore", process.index)) {
            timeline.schedule(random.sample(1, 10), () => process.deliver(() => finish(result)));
        }
    });
}
