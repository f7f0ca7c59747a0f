import bunyan from "bunyan";
import { afterEach, describe, expect, it, vi } from "vitest";
import type { TableChanges, TableRow, TableSource } from "../../../src/ports/tableSource.js";
import { type TrackedTable, trackTable, type TrackTableOptions } from "../../../src/replicas/commands/trackTable.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
const put = (key: string, version: number): TableRow => ({ key, version, value: Buffer.from(key) });

/** `gone`: the store no longer has the history. */
type FeedAnswer = TableChanges | "gone" | "failed";

interface Tracked {
    readonly table: TrackedTable;
    readonly changes: { keys: string[]; afterOutage: boolean; }[];
    readonly waits: number[];
    readonly reads: () => number;
}

let running: TrackedTable | undefined;
afterEach(() => running?.stop());

/**
 * Follows a table. Its reads and its feed return the listed results in turn; then the last read repeats and the feed
 * waits.
 */
function startTracking(
    snapshots: readonly (TableChanges | "failed")[],
    feed: readonly FeedAnswer[],
    options: Partial<Pick<TrackTableOptions, "getBatchDelayMs" | "shouldFollow" | "isCopied">> = {},
): Tracked {
    let readCount = 0;
    const waits: number[] = [];
    const changes: Tracked["changes"] = [];
    const source: TableSource = {
        readTable: () => {
            const answer = snapshots[Math.min(readCount, snapshots.length - 1)] ?? "failed";
            readCount += 1;
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
        replaceRow: () => Promise.resolve(false),
        removeRow: () => Promise.resolve(),
    };
    const table = trackTable({
        table: "t",
        source,
        log,
        getWaitMs: () => 2_500,
        getBatchDelayMs: () => 0,
        shouldFollow: () => true,
        isCopied: true,
        onRestored: () => undefined,
        ...options,
        onChange: (changed, afterOutage) => changes.push({ keys: changed.map(row => row.key), afterOutage }),
    });
    running = table;
    return { table, changes, waits, reads: () => readCount };
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
    // Guards against a call from every host of a large fleet for each of many changes.
    it("pauses after changes", async () => {
        const { waits } = startTracking([{ version: 5, rows: [] }], [{ version: 7, rows: [put("b", 7)] }], {
            getBatchDelayMs: () => 150,
        });
        await vi.waitFor(() => expect(waits).toHaveLength(1));
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(waits).toHaveLength(1);
        await vi.waitFor(() => expect(waits).toHaveLength(2));
    });
    it("reads the whole table again if the store no longer has the history", async () => {
        const { table, reads, waits } = startTracking(
            [{ version: 5, rows: [put("a", 2)] }, { version: 9, rows: [put("c", 9)] }],
            ["gone"],
        );
        await vi.waitFor(() => expect(waits).toHaveLength(2));
        expect(reads()).toBe(2);
        expect([...table.getReplica().rows.keys()]).toEqual(["c"]);
    });
    it("reads again if a read is older than the replica", async () => {
        const { table, waits } = startTracking(
            [{ version: 5, rows: [put("a", 2)] }, { version: 4, rows: [] }, { version: 6, rows: [put("a", 2)] }],
            ["gone"],
        );
        await vi.waitFor(() => expect(waits).toHaveLength(2));
        expect([...table.getReplica().rows.keys()]).toEqual(["a"]);
    });
    // Guards against a host that notices seconds late that the store is available again, because its call waits for
    // changes.
    it("calls the feed without waiting after a failure, and marks the first changes after an outage", async () => {
        const { changes, waits, table } = startTracking(
            [{ version: 5, rows: [put("a", 2)] }],
            ["failed", { version: 7, rows: [{ key: "a", version: 7 }] }],
        );
        await vi.waitFor(() => expect(waits).toHaveLength(3));
        expect(waits).toEqual([2_500, 0, 2_500]);
        expect(changes.at(-1)).toEqual({ keys: ["a"], afterOutage: true });
        expect(table.getRecovery()?.version).toBe(7);
    });
    // Guards against a replica that goes back to an older version, because a peer's copy arrived during an older read.
    it("ignores a read that is older than a peer's copy", async () => {
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
                replaceRow: () => Promise.resolve(false),
                removeRow: () => Promise.resolve(),
            },
            log,
            getWaitMs: () => 2_500,
            getBatchDelayMs: () => 0,
            shouldFollow: () => true,
            isCopied: true,
            onRestored: () => undefined,
            onChange: changed => changes.push(changed.map(row => `${row.key}@${row.version}`)),
        });
        running = table;
        table.adoptFromPeer({ version: 9, rows: [put("b", 9)] }, undefined);
        finishRead({ version: 5, rows: [put("a", 2)] });
        await new Promise(resolve => setTimeout(resolve, 20));
        expect(table.getReplica().version).toBe(9);
        expect([...table.getReplica().rows.keys()]).toEqual(["b"]);
        expect(changes).toEqual([["b@9"]]);
    });
    // Guards against endpoints that are used too long, because an isolated host mistakes a removed row for an expired
    // one.
    it.each([true, false])("adopts a peer's copy with the peer's outage state: %s", async afterOutage => {
        const { changes, table, waits } = startTracking([{ version: 5, rows: [put("a", 2)] }], ["failed"]);
        await vi.waitFor(() => expect(waits).toHaveLength(2));
        const recovery = afterOutage ? { version: 8, remainingMs: 1_000 } : undefined;
        table.adoptFromPeer({ version: 4, rows: [] }, recovery);
        expect(changes).toHaveLength(1);
        table.adoptFromPeer({ version: 8, rows: [] }, recovery);
        expect(changes.at(-1)).toEqual({ keys: ["a"], afterOutage });
    });
    // Guards against calls from every host of a large fleet at its start, and for each change.
    it("does not call the store if it copies from peers", async () => {
        const { changes, waits, table, reads } = startTracking([{ version: 5, rows: [put("a", 2)] }], [], {
            shouldFollow: () => false,
        });
        table.adoptFromPeer({ version: 5, rows: [put("a", 2)] }, undefined);
        await new Promise(resolve => setTimeout(resolve, 250));
        expect(table.isFollowing()).toBe(false);
        expect(changes).toHaveLength(1);
        expect(waits).toEqual([]);
        expect(reads()).toBe(0);
    });
    // Guards against a host that never gets a configuration, because no peer has one.
    it("reads the store itself if no peer provides a first copy", async () => {
        vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
        try {
            const { reads } = startTracking([{ version: 5, rows: [] }], [], { shouldFollow: () => false });
            await vi.advanceTimersByTimeAsync(2_900);
            expect(reads()).toBe(0);
            await vi.advanceTimersByTimeAsync(300);
            expect(reads()).toBe(1);
        }
        finally {
            vi.useRealTimers();
        }
    });
    it("never reads a table without copies that it does not follow", async () => {
        vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
        try {
            const { reads } = startTracking([{ version: 5, rows: [] }], [], {
                shouldFollow: () => false,
                isCopied: false,
            });
            await vi.advanceTimersByTimeAsync(20_000);
            expect(reads()).toBe(0);
        }
        finally {
            vi.useRealTimers();
        }
    });
    // Guards against a host that receives no changes, because the hosts that followed the store have stopped.
    it("follows the feed when it becomes a follower", async () => {
        let isFollower = false;
        const { waits, table } = startTracking([{ version: 5, rows: [put("a", 2)] }], [], {
            shouldFollow: () => isFollower,
        });
        table.adoptFromPeer({ version: 5, rows: [put("a", 2)] }, undefined);
        isFollower = true;
        await vi.waitFor(() => expect(waits).toEqual([2_500]));
        expect(table.isFollowing()).toBe(true);
    });
    // Guards against a host that waits for an unavailable store while a peer has the change.
    it("needs a peer's copy while the store is unavailable", async () => {
        const { table, waits } = startTracking([{ version: 5, rows: [] }], ["failed"]);
        await vi.waitFor(() => expect(waits).toHaveLength(1));
        await vi.waitFor(() => expect(table.isStoreUnavailable()).toBe(true));
        expect(table.isFollowing()).toBe(false);
    });
});
