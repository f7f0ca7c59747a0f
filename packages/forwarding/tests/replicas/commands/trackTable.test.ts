import bunyan from "bunyan";
import { afterEach, describe, expect, it, vi } from "vitest";
import type { TableChanges, TableRow, TableSource } from "../../../src/ports/tableSource.js";
import { type TrackedTable, trackTable, type TrackTableOptions } from "../../../src/replicas/commands/trackTable.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
const put = (key: string, version: number): TableRow => ({ key, version, value: Buffer.from(key) });

type FeedAnswer = TableChanges | "gone" | "failed";

interface Tracked {
    readonly table: TrackedTable;
    readonly changes: { keys: string[]; afterOutage: boolean; }[];
    readonly waits: number[];
    readonly reads: () => number;
}

let running: TrackedTable | undefined;
afterEach(() => running?.stop());

/** Follows a table whose feed gives the listed answers in turn, and then waits. */
function startTracking(
    snapshots: readonly (TableChanges | "failed")[],
    feed: readonly FeedAnswer[],
    options: Partial<Pick<TrackTableOptions, "gapMs" | "shouldFollow" | "prefersStore">> = {},
): Tracked {
    let reads = 0;
    const waits: number[] = [];
    const changes: Tracked["changes"] = [];
    const source: TableSource = {
        readTable: () => {
            const answer = snapshots[Math.min(reads, snapshots.length - 1)] ?? "failed";
            reads += 1;
            return answer === "failed" ? Promise.reject(new Error("failed")) : Promise.resolve(answer);
        },
        awaitChanges: (_table, _after, waitMs) => {
            const answer = feed[waits.length];
            waits.push(waitMs);
            if (answer === "failed") {
                return Promise.reject(new Error("failed"));
            }
            return answer === undefined
                ? new Promise(() => undefined)
                : Promise.resolve(answer === "gone" ? undefined : answer);
        },
        putRow: () => Promise.resolve(),
    };
    const table = trackTable({
        table: "t",
        source,
        log,
        waitMs: 2_500,
        gapMs: 0,
        shouldFollow: () => true,
        prefersStore: true,
        ...options,
        onChange: (changed, afterOutage) => changes.push({ keys: changed.map(row => row.key), afterOutage }),
    });
    running = table;
    return { table, changes, waits, reads: () => reads };
}

describe("trackTable", () => {
    it("reads the table, then follows the feed", async () => {
        const { changes, waits } = startTracking([{ version: 5, rows: [put("a", 2)] }], [{
            version: 7,
            rows: [put("b", 7)],
        }]);
        await vi.waitFor(() => expect(waits).toHaveLength(2));
        expect(changes).toEqual([{ keys: ["a"], afterOutage: false }, { keys: ["b"], afterOutage: false }]);
        expect(waits).toEqual([2_500, 2_500]);
    });
    // Guards against a call of each host for each of many changes in a large fleet.
    it("pauses after changes", async () => {
        const { waits } = startTracking([{ version: 5, rows: [] }], [{ version: 7, rows: [put("b", 7)] }], {
            gapMs: 150,
        });
        await vi.waitFor(() => expect(waits).toHaveLength(1));
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(waits).toHaveLength(1);
        await vi.waitFor(() => expect(waits).toHaveLength(2));
    });
    it("reads the whole table again where the history is gone", async () => {
        const { table, reads, waits } = startTracking(
            [{ version: 5, rows: [put("a", 2)] }, { version: 9, rows: [put("c", 9)] }],
            ["gone"],
        );
        await vi.waitFor(() => expect(waits).toHaveLength(2));
        expect(reads()).toBe(2);
        expect([...table.getReplica().rows.keys()]).toEqual(["c"]);
    });
    it("reads again where a read is older than what is known", async () => {
        const { table, waits } = startTracking(
            [{ version: 5, rows: [put("a", 2)] }, { version: 4, rows: [] }, { version: 6, rows: [put("a", 2)] }],
            ["gone"],
        );
        await vi.waitFor(() => expect(waits).toHaveLength(2));
        expect([...table.getReplica().rows.keys()]).toEqual(["a"]);
    });
    // Guards against a host that learns seconds late that the store is back, since its call waits there.
    it("asks without waiting after a failure, and marks the changes of an outage", async () => {
        const { changes, waits, table } = startTracking(
            [{ version: 5, rows: [put("a", 2)] }],
            ["failed", { version: 7, rows: [{ key: "a", version: 7 }] }],
        );
        await vi.waitFor(() => expect(waits).toHaveLength(3));
        expect(waits).toEqual([2_500, 0, 2_500]);
        expect(changes.at(-1)).toEqual({ keys: ["a"], afterOutage: true });
        expect(table.isAfterOutage()).toBe(true);
    });
    // Guards against a replica that goes back, because a peer's copy arrived while an older read was under way.
    it("ignores a read that a peer's copy has overtaken", async () => {
        let finishRead: (snapshot: TableChanges) => void = () => undefined;
        const changes: string[][] = [];
        const table = trackTable({
            table: "t",
            source: {
                readTable: () =>
                    new Promise(resolve => {
                        finishRead = resolve;
                    }),
                awaitChanges: () => new Promise(() => undefined),
                putRow: () => Promise.resolve(),
            },
            log,
            waitMs: 2_500,
            gapMs: 0,
            shouldFollow: () => true,
            prefersStore: true,
            onChange: changed => changes.push(changed.map(row => `${row.key}@${row.version}`)),
        });
        running = table;
        table.adoptFromPeer({ version: 9, rows: [put("b", 9)] }, false);
        finishRead({ version: 5, rows: [put("a", 2)] });
        await new Promise(resolve => setTimeout(resolve, 20));
        expect(table.getReplica().version).toBe(9);
        expect([...table.getReplica().rows.keys()]).toEqual(["b"]);
        expect(changes).toEqual([["b@9"]]);
    });
    // Guards against endpoints that are used too long, because a host that was cut off takes a removal for a lapse.
    it.each([true, false])("takes a peer's copy with what the peer says of an outage: %s", async afterOutage => {
        const { changes, table, waits } = startTracking([{ version: 5, rows: [put("a", 2)] }], ["failed"]);
        await vi.waitFor(() => expect(waits).toHaveLength(2));
        table.adoptFromPeer({ version: 4, rows: [] }, afterOutage);
        expect(changes).toHaveLength(1);
        table.adoptFromPeer({ version: 8, rows: [] }, afterOutage);
        expect(changes.at(-1)).toEqual({ keys: ["a"], afterOutage });
    });
    // Guards against idle calls of every host of a large fleet.
    it("leaves the feed to other hosts after the first read", async () => {
        const { changes, waits, table } = startTracking([{ version: 5, rows: [put("a", 2)] }], [], {
            shouldFollow: () => false,
            prefersStore: false,
        });
        await vi.waitFor(() => expect(changes).toHaveLength(1));
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(table.noteNews()).toBe(false);
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(waits).toEqual([]);
    });
    // Guards against copies of large rows over the small links of hosts.
    it("reads a change that a peer knows from the store, without waiting there", async () => {
        const { changes, waits, table } = startTracking([{ version: 5, rows: [put("a", 2)] }], [
            { version: 7, rows: [put("b", 7)] },
        ], { shouldFollow: () => false });
        await vi.waitFor(() => expect(changes).toHaveLength(1));
        expect(table.noteNews()).toBe(true);
        await vi.waitFor(() => expect(changes).toHaveLength(2));
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(waits).toEqual([0]);
    });
    // Guards against a host without news from anyone, because those that followed the store have gone.
    it("follows the feed once it has to", async () => {
        let isFollowing = false;
        const { changes, waits } = startTracking([{ version: 5, rows: [put("a", 2)] }], [], {
            shouldFollow: () => isFollowing,
        });
        await vi.waitFor(() => expect(changes).toHaveLength(1));
        isFollowing = true;
        await vi.waitFor(() => expect(waits).toEqual([2_500]));
    });
    // Guards against a call of every host of a large fleet for each of many versions in quick succession.
    it("reads several changes at once where others follow the store", async () => {
        const { waits, table, changes } = startTracking([{ version: 5, rows: [] }], [
            { version: 7, rows: [put("b", 7)] },
            { version: 9, rows: [put("b", 9)] },
        ], { shouldFollow: () => false });
        await vi.waitFor(() => expect(table.getReplica().version).toBe(5));
        for (let news = 0; news < 8; news += 1) {
            table.noteNews();
            await new Promise(resolve => setTimeout(resolve, 40));
        }
        expect(waits).toHaveLength(1);
        await vi.waitFor(() => expect(changes).toHaveLength(2));
        expect(waits).toHaveLength(2);
    });
    // Guards against a host that waits for the store although it has lost it, while a peer knows of a change.
    it("asks for a peer's copy while the store is lost", async () => {
        const { table, waits } = startTracking([{ version: 5, rows: [] }], ["failed"]);
        await vi.waitFor(() => expect(waits).toHaveLength(1));
        await vi.waitFor(() => expect(table.hasLostStore()).toBe(true));
        expect(table.noteNews()).toBe(false);
    });
});
