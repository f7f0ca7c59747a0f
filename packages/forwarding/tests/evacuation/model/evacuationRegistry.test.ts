/** The state of evacuations by the rows that a host reads, on a paused clock. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { shareRetainedEvacuations } from "../../../src/evacuation/commands/shareRetainedEvacuations.js";
import { RETENTION_MS } from "../../../src/evacuation/model/evacuationRegistry.js";
import { toPosition } from "../../../src/ports/storePosition.js";
import type { TableRow } from "../../../src/ports/tableSource.js";
import { adoptSnapshot, applyChanges, createTableReplica } from "../../../src/replicas/model/tableReplica.js";
import { createTestRegistry, type TestRegistry, toDomains } from "../evacuationFixture.js";

/** A host that follows the operator's table of a store, of which each action is one change. */
interface Follower extends TestRegistry {
    /**
     * Carries out an action: `set a`, `damage a` (content not readable), `remove a`, `read a b` (full read in the same
     * era, with these rows), `restore a b` (full read in the next era, with these rows) or `wait MS`.
     */
    readonly act: (action: string) => void;
    readonly listDomains: () => string;
}

function createFollower(): Follower {
    const test = createTestRegistry();
    let replica = createTableReplica("op");
    let era = 0;
    let version = 0;
    const put = (domain: string, content = "{}"): TableRow => ({
        key: `evacuate/${domain}`,
        version: toPosition(era, version += 1),
        value: Buffer.from(content),
    });
    const change = (rows: readonly TableRow[]): void => {
        const update = applyChanges(replica, { version: toPosition(era, version), rows });
        replica = update.replica;
        test.registry.applyRows(update.changed);
    };
    const read = (rows: readonly TableRow[]): void => {
        const update = adoptSnapshot(replica, { version: toPosition(era, version), rows });
        replica = update?.replica ?? replica;
        test.registry.applyRows(update?.changed ?? []);
    };
    const handlers: Readonly<Record<string, (domains: readonly string[]) => void>> = {
        set: ([domain = ""]) => change([put(domain)]),
        damage: ([domain = ""]) => change([put(domain, "]")]),
        remove: ([domain = ""]) => change([{ key: `evacuate/${domain}`, version: toPosition(era, version += 1) }]),
        read: domains => {
            version += 5;
            read(domains.map(domain => put(domain)));
        },
        restore: domains => {
            era += 1;
            version = 0;
            read(domains.map(domain => put(domain)));
            test.registry.renewRetained();
        },
        wait: ([ms]) => void vi.advanceTimersByTime(Number(ms)),
    };
    return {
        ...test,
        act: action => {
            const [name = "", ...domains] = action.split(" ");
            handlers[name]?.(domains);
        },
        listDomains: () => test.registry.list().map(({ domain }) => domain).sort().join(""),
    };
}

interface Case {
    readonly name: string;
    /** Actions, each with the domains that are evacuated afterwards. */
    readonly steps: readonly (readonly [action: string, domains: string])[];
    readonly returned?: string;
}

/** Just before and just after the end of a retained evacuation. */
const almost = `wait ${RETENTION_MS - 1}`;
const justAfter = "wait 2";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("createEvacuationRegistry", () => {
    // Guards against requests to a domain that the operator has evacuated, and domains that never get any again.
    const cases: readonly Case[] = [
        {
            name: "set, removed and set again",
            steps: [["set a", "a"], ["wait 600000", "a"], ["remove a", ""], ["set a", "a"], ["set a", "a"]],
            returned: "a",
        },
        {
            name: "two domains, and the last one",
            steps: [["set a", "a"], ["set b", "ab"], ["set c", "abc"], ["remove b", "ac"], ["remove a", "c"]],
            returned: "ba",
        },
        { name: "unreadable content", steps: [["damage a", "a"], ["set a", "a"], ["remove a", ""]], returned: "a" },
        { name: "a removal without an evacuation", steps: [["remove a", ""]] },
        {
            name: "discarded history: the whole table is read",
            steps: [["set a", "a"], ["read a b", "ab"], ["read b", "b"], ["read", ""]],
            returned: "ab",
        },
        {
            name: "era change with the row missing, not written again",
            steps: [["set a", "a"], ["restore", "a"], [almost, "a"], [justAfter, ""]],
            returned: "a",
        },
        {
            name: "era change with the row missing, written again in time",
            steps: [["set a", "a"], ["restore", "a"], ["wait 3000", "a"], ["set a", "a"], ["wait 600000", "a"]],
        },
        {
            name: "era change with the row missing, removed in the new history",
            steps: [["set a", "a"], ["restore", "a"], ["remove a", ""]],
            returned: "a",
        },
        {
            name: "era change with the row missing, and a further full read",
            steps: [["set a", "a"], ["restore", "a"], ["wait 1000", "a"], ["read", "a"], ["read b", "ab"]],
        },
        {
            name: "era change with the row present, then removed",
            steps: [["set a", "a"], ["restore a", "a"], ["wait 600000", "a"], ["remove a", ""]],
            returned: "a",
        },
        {
            name: "era change with the removal lost",
            steps: [["set a", "a"], ["remove a", ""], ["restore a", "a"], ["remove a", ""]],
            returned: "aa",
        },
        {
            name: "two era changes: the time starts again, also if the row was not written between them",
            steps: [
                ["set a", "a"],
                ["restore", "a"],
                [almost, "a"],
                ["restore", "a"],
                [almost, "a"],
                [justAfter, ""],
                ["set a", "a"],
                ["restore", "a"],
            ],
            returned: "a",
        },
    ];
    it.each(cases)("$name", ({ steps, returned = "" }) => {
        const follower = createFollower();
        for (const [action, domains] of steps) {
            follower.act(action);
            expect([action, follower.listDomains()]).toEqual([action, domains]);
            expect(toDomains("abc").filter(follower.registry.isEvacuated).join("")).toBe(domains);
        }
        expect(follower.returned.join("")).toBe(returned);
    });
    // Guards against a log that says nothing of a mistake of the operator, or the same at each check.
    it.each([
        { name: "unreadable content", actions: ["damage a", "damage a"], text: "not readable" },
        { name: "an unknown domain", actions: ["set x", "wait 6000"], text: "no endpoint of the domain" },
        { name: "all domains", actions: ["set a", "set b"], text: "all domains are evacuated" },
        { name: "a begin", actions: ["set a", "set a"], text: "began" },
        { name: "an end", actions: ["set a", "remove a"], text: "ended" },
    ])("logs $name once", ({ actions, text }) => {
        const { act, registry, countLines } = createFollower();
        registry.checkDomains(new Set());
        actions.forEach(act);
        registry.checkDomains(new Set(toDomains("ab")));
        registry.checkDomains(new Set(toDomains("ab")));
        expect(countLines(`evacuation: `)).toBeGreaterThan(0);
        expect(countLines(text)).toBe(1);
        expect(countLines("all domains")).toBe(text.startsWith("all") ? 1 : 0);
    });
    // Guards against a line for each start, at which the endpoints are read after the evacuation.
    it("does not take a domain for unknown before its endpoints have been read", () => {
        const { act, registry, countLines } = createFollower();
        act("set a");
        registry.checkDomains(new Set());
        expect(countLines("no endpoint") + countLines("all domains")).toBe(0);
    });
});

describe("shareRetainedEvacuations", () => {
    /** Copies as hosts do: only if the peer announces a later change. */
    const copy = (
        from: Follower,
        to: Follower,
        tables = [from, to].map(each => shareRetainedEvacuations(each.registry)),
    ) => {
        const [source, target] = tables.map(table => table.getReplica());
        if (source!.lastChangeVersion > target!.version) {
            tables[1]!.adoptFromPeer({ version: source!.version, rows: [...source!.rows.values()] }, undefined);
        }
    };
    // Guards against a host that starts after the loss and sends to a domain that all others spare.
    it("gives a host that starts the time that is left", () => {
        const [first, second] = [createFollower(), createFollower()];
        ["set a", "restore", "wait 5000"].forEach(first.act);
        copy(first, second);
        expect(second.listDomains()).toBe("a");
        second.act(`wait ${RETENTION_MS - 5_001}`);
        expect(second.listDomains()).toBe("a");
        second.act(justAfter);
        expect(second.listDomains()).toBe("");
    });
    // Guards against an evacuation that comes back after its end, by a copy from a host that is behind.
    it("is not adopted by a host that has the row or has seen a later removal", () => {
        const [behind, removed, present] = [createFollower(), createFollower(), createFollower()];
        ["set b", "set a", "restore"].forEach(behind.act);
        ["set b", "set a", "restore", "remove a"].forEach(removed.act);
        ["restore", "set a"].forEach(present.act);
        copy(behind, removed);
        copy(behind, present);
        expect(removed.listDomains()).toBe("b");
        expect(present.listDomains()).toBe("ab");
        present.act(`wait ${RETENTION_MS + 1}`);
        expect(present.listDomains()).toBe("a");
    });
    // Guards against hosts that copy from peers and retain an evacuation that the others have seen removed: a copy of the
    // operator's table does not show the removal of a row that was missing before.
    it.each([
        { name: "retains it", actions: ["set a", "restore"], then: undefined },
        { name: "has not read the new history", actions: ["set a"], then: "restore" },
        { name: "has not read that it was written again", actions: ["set a", "restore"], then: undefined },
    ])("ends by a removal that a peer has seen, on a host that $name", ({ name, actions, then }) => {
        const [source, behind] = [createFollower(), createFollower()];
        ["set a", "restore", ...name.includes("again") ? ["set a"] : [], "remove a"].forEach(source.act);
        actions.forEach(behind.act);
        expect(behind.listDomains()).toBe("a");
        copy(source, behind);
        if (then !== undefined) {
            expect(behind.listDomains()).toBe("a");
            behind.act(then);
        }
        expect(behind.listDomains()).toBe("");
        expect(behind.returned).toEqual(["a"]);
        behind.act("set a");
        expect(behind.listDomains()).toBe("a");
    });
    // Guards against hosts that fetch the same copy again and again, or a removal that is missed beside a later one.
    it("is announced only while it is in effect, and copied once", () => {
        const [source, behind] = [createFollower(), createFollower()];
        const tables = [source, behind].map(each => shareRetainedEvacuations(each.registry));
        const listVersions =
            (): number[] => [tables[0]!.getReplica().lastChangeVersion, tables[1]!.getReplica().version];
        source.act("set a");
        behind.act("set a");
        expect(listVersions()).toEqual([-1, -1]);
        ["restore", "set b", "remove b"].forEach(behind.act);
        source.act("restore");
        copy(source, behind, tables);
        expect(listVersions()).toEqual([1, 1]);
        source.act("remove a");
        copy(source, behind, tables);
        expect(behind.listDomains()).toBe("");
        expect(listVersions()).toEqual([toPosition(1, 1), toPosition(1, 1)]);
        source.act(`wait ${2 * RETENTION_MS}`);
        expect(listVersions()).toEqual([-1, toPosition(1, 1)]);
    });
    it("ignores a time that is no number, and limits one that is too long", () => {
        const { act, registry, listDomains } = createFollower();
        const table = shareRetainedEvacuations(registry);
        const rows = [["a", "x"], ["b", "-1"], ["c", "9e99"]].map(([key = "", value = ""], index) => ({
            key,
            version: index,
            value: Buffer.from(value),
        }));
        table.adoptFromPeer({ version: 2, rows }, undefined);
        expect(listDomains()).toBe("c");
        act(`wait ${RETENTION_MS + 1}`);
        expect(listDomains()).toBe("");
    });
});
