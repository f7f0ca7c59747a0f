import { findFreePorts } from "@currantrill/standins";
import bunyan from "bunyan";
import { afterEach, describe, expect, it, vi } from "vitest";
import { startTableRelay, type TableRelay } from "../../../src/peers/commands/relayTables.js";
import type { TableChanges, TableRow } from "../../../src/ports/tableSource.js";
import type { TrackedTable } from "../../../src/replicas/commands/trackTable.js";
import { adoptSnapshot, createTableReplica } from "../../../src/replicas/model/tableReplica.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
const put = (key: string, version: number): TableRow => ({ key, version, value: Buffer.from(`${key}${version}`) });

interface FakeTable extends TrackedTable {
    readonly adopted: TableChanges[];
}

function createTable(snapshot: TableChanges, asksStore = false): FakeTable {
    const adopted: TableChanges[] = [];
    let replica = adoptSnapshot(createTableReplica("t"), snapshot)!.replica;
    return {
        adopted,
        getReplica: () => replica,
        isAfterOutage: () => false,
        hasLostStore: () => false,
        noteNews: () => asksStore,
        adoptFromPeer: copy => {
            adopted.push(copy);
            replica = adoptSnapshot(replica, copy)?.replica ?? replica;
        },
        stop: () => undefined,
    };
}

const relays: TableRelay[] = [];
afterEach(async () => {
    await Promise.all(relays.splice(0).map(relay => relay.close()));
});

async function startRelays(tables: readonly FakeTable[]): Promise<{ addresses: string[]; relays: TableRelay[]; }> {
    const ports = await findFreePorts(tables.length);
    const addresses = ports.map(port => `127.0.0.1:${port}`);
    for (const [index, table] of tables.entries()) {
        relays.push(await startTableRelay(addresses[index] ?? "", new Map([["t", table]]), log));
    }
    return { addresses, relays: [...relays] };
}

const known: TableChanges = { version: 5, rows: [put("a", 2), put("b", 3), put("c", 4)] };

describe("startTableRelay", () => {
    // Guards against rows that are lost, or stay after their removal, where only changed rows are copied.
    it("copies what has changed from a peer that knows more", async () => {
        const behind = createTable(known);
        const ahead = createTable({ version: 9, rows: [put("a", 2), put("b", 8), put("d", 7)] });
        const started = await startRelays([behind, ahead]);
        started.relays[0]?.compare(started.addresses[1] ?? "", { t: 8 });
        await vi.waitFor(() => expect(behind.getReplica().version).toBe(9));
        const rows = [...behind.getReplica().rows.values()].map(row => `${row.key} ${row.value?.toString() ?? ""}`);
        expect(rows.sort()).toEqual(["a a2", "b b8", "d d7"]);
    });
    // Guards against a copy of large rows where the store itself answers.
    it("leaves the change to the store for a while", async () => {
        const behind = createTable(known, true);
        const ahead = createTable({ version: 9, rows: [put("a", 9)] });
        const started = await startRelays([behind, ahead]);
        started.relays[0]?.compare(started.addresses[1] ?? "", { t: 9 });
        await new Promise(resolve => setTimeout(resolve, 120));
        expect(behind.adopted).toEqual([]);
        await vi.waitFor(() => expect(behind.adopted).toHaveLength(1));
    });
    it("asks no peer that knows no more", async () => {
        const table = createTable(known);
        const started = await startRelays([table, createTable(known)]);
        started.relays[0]?.compare(started.addresses[1] ?? "", { t: 5 });
        await new Promise(resolve => setTimeout(resolve, 120));
        expect(table.adopted).toEqual([]);
    });
});
