import { findFreePorts } from "@currantrill/standins";
import bunyan from "bunyan";
import { afterEach, describe, expect, it, vi } from "vitest";
import { startTableSynchronization, type TableSynchronization } from "../../../src/peers/commands/synchronizeTables.js";
import type { TableChanges, TableRow } from "../../../src/ports/tableSource.js";
import type { TrackedTable } from "../../../src/replicas/commands/trackTable.js";
import { adoptSnapshot, createTableReplica } from "../../../src/replicas/model/tableReplica.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
const put = (key: string, version: number): TableRow => ({ key, version, value: Buffer.from(`${key}${version}`) });

interface FakeTable extends TrackedTable {
    readonly adopted: TableChanges[];
}

function createTable(snapshot: TableChanges, readsFromStore = false): FakeTable {
    const adopted: TableChanges[] = [];
    let replica = adoptSnapshot(createTableReplica("t"), snapshot)!.replica;
    return {
        adopted,
        getReplica: () => replica,
        getRecovery: () => undefined,
        isStoreUnavailable: () => false,
        isFollowing: () => readsFromStore,
        adoptFromPeer: copy => {
            adopted.push(copy);
            replica = adoptSnapshot(replica, copy)?.replica ?? replica;
        },
        stop: () => undefined,
    };
}

const synchronizations: TableSynchronization[] = [];
afterEach(async () => {
    await Promise.all(synchronizations.splice(0).map(each => each.close()));
});

async function startSynchronizations(
    tables: readonly FakeTable[],
): Promise<{ addresses: string[]; synchronizations: TableSynchronization[]; }> {
    const ports = await findFreePorts(tables.length);
    const addresses = ports.map(port => `127.0.0.1:${port}`);
    for (const [index, table] of tables.entries()) {
        synchronizations.push(await startTableSynchronization(addresses[index] ?? "", new Map([["t", table]]), log));
    }
    return { addresses, synchronizations: [...synchronizations] };
}

const known: TableChanges = { version: 5, rows: [put("a", 2), put("b", 3), put("c", 4)] };

describe("startTableSynchronization", () => {
    // Guards against rows that are lost, or stay after their removal, because only changed rows are transferred.
    it("copies the changed rows from a peer with a newer table", async () => {
        const behind = createTable(known);
        const ahead = createTable({ version: 9, rows: [put("a", 2), put("b", 8), put("d", 7)] });
        const started = await startSynchronizations([behind, ahead]);
        started.synchronizations[0]?.synchronizeWith(started.addresses[1] ?? "", { t: 8 });
        await vi.waitFor(() => expect(behind.getReplica().version).toBe(9));
        const rows = [...behind.getReplica().rows.values()].map(row => `${row.key} ${row.value?.toString() ?? ""}`);
        expect(rows.sort()).toEqual(["a a2", "b b8", "d d7"]);
    });
    // Guards against the transfer of large rows between hosts although the store provides them.
    it("waits for the store before it fetches a copy", async () => {
        const behind = createTable(known, true);
        const ahead = createTable({ version: 9, rows: [put("a", 9)] });
        const started = await startSynchronizations([behind, ahead]);
        started.synchronizations[0]?.synchronizeWith(started.addresses[1] ?? "", { t: 9 });
        await new Promise(resolve => setTimeout(resolve, 120));
        expect(behind.adopted).toEqual([]);
        await vi.waitFor(() => expect(behind.adopted).toHaveLength(1));
    });
    // Guards against retained evacuations that are copied with the time that was left when the first host asked.
    it("does not send a copy again that is a second old", async () => {
        let value = "first";
        const ahead: FakeTable = {
            ...createTable(known),
            getReplica: () =>
                adoptSnapshot(createTableReplica("t"), {
                    version: 9,
                    rows: [{ key: "a", version: 9, value: Buffer.from(value) }],
                })!.replica,
        };
        const followers = [createTable(known), createTable(known)];
        const started = await startSynchronizations([ahead, ...followers]);
        const copy = async (index: number): Promise<string | undefined> => {
            started.synchronizations[index]?.synchronizeWith(started.addresses[0] ?? "", { t: 9 });
            await vi.waitFor(() => expect(followers[index - 1]?.adopted).toHaveLength(1));
            return followers[index - 1]?.getReplica().rows.get("a")?.value?.toString();
        };
        expect(await copy(1)).toBe("first");
        value = "second";
        const laterMs = performance.now() + 1_000;
        const now = vi.spyOn(performance, "now").mockReturnValue(laterMs);
        expect(await copy(2).finally(() => now.mockRestore())).toBe("second");
    });
    it("does not query a peer without a newer table", async () => {
        const table = createTable(known);
        const started = await startSynchronizations([table, createTable(known)]);
        started.synchronizations[0]?.synchronizeWith(started.addresses[1] ?? "", { t: 5 });
        await new Promise(resolve => setTimeout(resolve, 120));
        expect(table.adopted).toEqual([]);
    });
});
