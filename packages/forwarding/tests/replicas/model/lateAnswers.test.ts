import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { toPosition } from "../../../src/ports/storePosition.js";
import type { TableChanges, TableRow } from "../../../src/ports/tableSource.js";
import {
    adoptSnapshot,
    applyChanges,
    createTableReplica,
    type ReplicaUpdate,
    type TableReplica,
} from "../../../src/replicas/model/tableReplica.js";

/** One step of a generated history. */
type Step =
    | { readonly kind: "put" | "remove"; readonly key: string; }
    /** The store comes back from a copy that lacks its last `lost` changes. */
    | { readonly kind: "restore"; readonly lost: number; }
    /** A replica asks for changes, or for the whole table; the answer arrives when it is delivered. */
    | { readonly kind: "feed" | "read"; readonly replica: number; }
    /** Delivers an answer, counted from the latest one; maybe once more. */
    | { readonly kind: "deliver"; readonly answer: number; }
    /** A replica gets a copy of another one, which may be delivered late, too. */
    | { readonly kind: "copy"; readonly from: number; readonly to: number; };

const REPLICAS = 2;
const replicaIndex = fc.integer({ min: 0, max: REPLICAS - 1 });
const keys = fc.constantFrom("a", "b");
const steps = fc.array(
    fc.oneof(
        { weight: 6, arbitrary: fc.record({ kind: fc.constantFrom("put" as const, "remove" as const), key: keys }) },
        {
            weight: 1,
            arbitrary: fc.record({ kind: fc.constant("restore" as const), lost: fc.integer({ min: 0, max: 5 }) }),
        },
        {
            weight: 6,
            arbitrary: fc.record({ kind: fc.constantFrom("feed" as const, "read" as const), replica: replicaIndex }),
        },
        { weight: 8, arbitrary: fc.record({ kind: fc.constant("deliver" as const), answer: fc.nat({ max: 5 }) }) },
        {
            weight: 2,
            arbitrary: fc.record({ kind: fc.constant("copy" as const), from: replicaIndex, to: replicaIndex }),
        },
    ),
    { minLength: 10, maxLength: 80 },
);

type TableState = ReadonlyMap<string, string>;

/** A store with one table, and the state that it had at each position. */
class StoreModel {
    private era = 0;
    private changes: { readonly key: string; readonly value?: Buffer; }[] = [];
    private writes = 0;
    readonly states = new Map<number, TableState>([[-1, new Map()]]);

    constructor() {
        this.recordState();
    }

    getPosition(): number {
        return toPosition(this.era, this.changes.length);
    }

    write(key: string, hasValue: boolean): void {
        this.writes += 1;
        this.changes.push(hasValue ? { key, value: Buffer.from(String(this.writes)) } : { key });
        this.recordState();
    }

    restore(lost: number): void {
        this.era += 1;
        this.changes = this.changes.slice(0, Math.max(0, this.changes.length - lost));
        this.recordState();
    }

    readTable(): TableChanges {
        return { version: this.getPosition(), rows: this.listRows().filter(row => row.value !== undefined) };
    }

    /** Returns the changes after a position, `undefined` if it is of an earlier era. */
    readChanges(after: number): TableChanges | undefined {
        if (after < toPosition(this.era, 0)) {
            return undefined;
        }
        return { version: this.getPosition(), rows: this.listRows().filter(row => row.version > after) };
    }

    /** Lists the last change of each key. */
    private listRows(): TableRow[] {
        const rows = this.changes.map((change, index): [string, TableRow] => [
            change.key,
            { ...change, version: toPosition(this.era, index + 1) },
        ]);
        return [...new Map(rows).values()];
    }

    private recordState(): void {
        this.states.set(this.getPosition(), describeRows(this.readTable().rows));
    }
}

const describeRows = (rows: Iterable<TableRow>): TableState =>
    new Map([...rows].map(row => [row.key, row.value?.toString() ?? ""] as const).sort());

type Answer = (
    replicas: readonly TableReplica[],
) => { readonly index: number; readonly update: ReplicaUpdate | undefined; };

/** Runs a history and checks each replica after each answer. */
function checkHistory(history: readonly Step[]): void {
    const store = new StoreModel();
    const replicas = Array.from({ length: REPLICAS }, () => createTableReplica("t"));
    const answers: Answer[] = [];
    const request: { readonly [Kind in Step["kind"]]: (step: Extract<Step, { kind: Kind; }>) => void; } = {
        put: ({ key }) => store.write(key, true),
        remove: ({ key }) => store.write(key, false),
        restore: ({ lost }) => store.restore(lost),
        feed: ({ replica: index }) => {
            const changes = store.readChanges(replicas[index]?.version ?? -1);
            if (changes !== undefined) {
                answers.push(all => ({ index, update: applyChanges(getReplica(all, index), changes) }));
            }
        },
        read: ({ replica: index }) => {
            const snapshot = store.readTable();
            answers.push(all => ({ index, update: adoptSnapshot(getReplica(all, index), snapshot) }));
        },
        copy: ({ from, to }) => {
            const { version, rows } = getReplica(replicas, from);
            const snapshot = { version, rows: [...rows.values()] };
            answers.push(all => ({ index: to, update: adoptSnapshot(getReplica(all, to), snapshot) }));
        },
        deliver: ({ answer }) => {
            const delivered = answers.at(-1 - answer)?.(replicas);
            if (delivered?.update === undefined) {
                return;
            }
            const before = getReplica(replicas, delivered.index);
            const { replica } = delivered.update;
            replicas[delivered.index] = replica;
            expect(replica.version).toBeGreaterThanOrEqual(before.version);
            expect(describeRows(replica.rows.values())).toEqual(store.states.get(replica.version));
        },
    };
    history.forEach(step => (request[step.kind] as (each: Step) => void)(step));
}

function getReplica(replicas: readonly TableReplica[], index: number): TableReplica {
    return replicas[index] ?? createTableReplica("t");
}

describe("late answers", () => {
    // Guards against an answer from before a newer state that brings back removed rows, or loses later ones.
    it("leave a replica at a state that the store had, never an older one than before", () => {
        fc.assert(fc.property(steps, checkHistory), { seed: 31, numRuns: 3_000 });
    });
});
