/** Transactional table service and object store in memory. A client sees its delays, refusals and lost answers. */
import type { FaultPlan } from "./faults.js";
import type { HostProcess } from "./hostProcess.js";
import type { Random } from "./random.js";
import type { Timeline } from "./timeline.js";

export interface StoredRow {
    readonly version: number;
    readonly value: unknown;
}

export interface StoreWrite {
    readonly conditions: readonly { readonly key: string; readonly version: number; }[];
    /** `undefined` deletes the row. */
    readonly writes: readonly { readonly key: string; readonly value: unknown; }[];
}

export type WriteResult =
    | { readonly type: "committed"; readonly versions: ReadonlyMap<string, number>; }
    | { readonly type: "conflict" | "refused" | "lost"; };

export interface FakeStore {
    readonly read: (process: HostProcess, key: string, done: (row: StoredRow | undefined | "failed") => void) => void;
    readonly write: (process: HostProcess, write: StoreWrite, done: (result: WriteResult) => void) => void;
    /** Stores a row before the run begins. */
    readonly put: (key: string, value: unknown) => void;
    /** What is stored now, without faults. */
    readonly rows: ReadonlyMap<string, StoredRow>;
    /** Called after each committed write. */
    readonly onCommit: (observe: (write: StoreWrite) => void) => void;
}

/** Time after which a client gives up waiting for an answer. */
const CLIENT_TIMEOUT_MS = 1_000;
const SLOW_MAX_MS = 3_000;

export interface StoreContext {
    readonly timeline: Timeline;
    readonly faults: FaultPlan;
    readonly random: Random;
}

export function createFakeStore(context: StoreContext): FakeStore {
    const rows = new Map<string, StoredRow>();
    // Versions go on after a delete, so that a condition cannot match a row that was written anew.
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

/** One request to the store and its answer. `done` is called exactly once, unless the process ends first. */
function sendToStore<T>(
    { timeline, faults, random }: StoreContext,
    process: HostProcess,
    execute: () => T,
    refused: T,
    lost: T,
    done: (result: T) => void,
): void {
    let waiting = true;
    const settle = (result: T): void => {
        if (waiting) {
            waiting = false;
            done(result);
        }
    };
    process.setTimer(CLIENT_TIMEOUT_MS, () => settle(lost));
    if (faults.isActive("cutFromStore", process.index)) {
        return;
    }
    const slowMs = faults.isActive("storeSlow") ? random.sample(0, SLOW_MAX_MS) : 0;
    timeline.schedule(random.sample(1, 10) + slowMs, () => {
        const result = faults.isActive("storeOutage") ? refused : execute();
        if (faults.isActive("storeLosesAnswers") && random.sample(0, 1) === 0) {
            // Half of the connections break at once, the others stay silent until the client gives up.
            if (random.sample(0, 1) === 0) {
                timeline.schedule(1, () => process.deliver(() => settle(lost)));
            }
            return;
        }
        if (!faults.isActive("cutFromStore", process.index)) {
            timeline.schedule(random.sample(1, 10), () => process.deliver(() => settle(result)));
        }
    });
}
