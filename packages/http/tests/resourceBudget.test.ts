import { describe, expect, it } from "vitest";
import {
    createResourceBudget,
    type ResourceAccount,
    type ResourceBudget,
    type ResourceEvent,
    type ResourceKind,
} from "../src/index.js";

const LIMIT = 1_000;

interface Fixture {
    readonly budget: ResourceBudget;
    /** Names of the connections that have been closed, in order. */
    readonly closed: string[];
    readonly events: (readonly [ResourceEvent, ResourceKind])[];
    readonly setTime: (nowMs: number) => void;
    /** Opens an account of 10 bytes that takes `bytes` for a body. */
    readonly open: (name: string, bytes?: number, options?: OpenOptions) => ResourceAccount;
}

interface OpenOptions {
    readonly isWaitingForHost?: boolean;
    /** Whether the memory of the connection stays in use after it has been closed. */
    readonly isSlowToClose?: boolean;
}

function createFixture(kindLimit = Infinity): Fixture {
    const closed: string[] = [];
    const events: (readonly [ResourceEvent, ResourceKind])[] = [];
    let now = 0;
    const budget = createResourceBudget({
        getLimit: () => LIMIT,
        getKindLimit: kind => kind === "body" ? kindLimit : Infinity,
        onEvent: (event, cause) => events.push([event, cause]),
        getNowMs: () => now,
    });
    const open = (name: string, bytes = 0, { isWaitingForHost = false, isSlowToClose = false }: OpenOptions = {}) => {
        const account = budget.open({
            isWaitingForHost: () => isWaitingForHost,
            close: () => {
                closed.push(name);
                if (!isSlowToClose) {
                    account?.give("body", account.pay("body").getUsed());
                    account?.close();
                }
            },
        }, 10);
        expect(account?.take("body", bytes)).toBe(true);
        return account!;
    };
    return { budget, closed, events, open, setTime: ms => void (now = ms) };
}

describe("the budget for what callers make a process hold", () => {
    // Guards against bodies that stop before their end and keep all other bodies out, while there is room for other kinds.
    it("closes connections that hold most of a kind whose limit is reached", () => {
        const { closed, open, setTime } = createFixture(500);
        open("large", 300);
        open("small", 190);
        setTime(10_000);
        open("new", 20);
        expect(closed).toEqual(["large"]);
    });
    // Guards against callers that are turned away although there is room.
    it("closes and refuses nothing up to its limit", () => {
        const { budget, closed, events, open, setTime } = createFixture();
        open("a", 490);
        setTime(1_000_000);
        open("b", 490);
        expect({ used: budget.getUsed(), closed, events }).toEqual({ used: LIMIT, closed: [], events: [] });
    });

    // Guards against a crowd whose members keep what they hold, while those that come later are turned away.
    it.each(
        [
            { name: "most", first: [600, 0], second: [300, 0], closes: "first" },
            { name: "for longest", first: [450, 0], second: [450, 900], closes: "first" },
            { name: "most for longest together", first: [200, 0], second: [700, 900], closes: "first" },
        ] as const,
    )("closes the connection that holds $name", ({ first, second, closes }) => {
        const { closed, events, open, setTime } = createFixture();
        const accounts = { first: open("first", first[0]), second: open("second", second[0]) };
        Object.entries({ first, second }).forEach(([name, [, progressAtMs]]) => {
            setTime(progressAtMs);
            accounts[name as "first" | "second"].recordTransfer(2_000);
        });
        setTime(1_000);
        open("new", 150);
        expect(closed).toEqual([closes]);
        expect(events).toEqual([["closed", "body"]]);
    });

    // Guards against connections that never count as stalled because they send a byte from time to time.
    it("does not count a few bytes as progress", () => {
        const { closed, open, setTime } = createFixture();
        const trickling = open("trickling", 400);
        const steady = open("steady", 400);
        for (let ms = 0; ms <= 10_000; ms += 100) {
            setTime(ms);
            trickling.recordTransfer(1);
            steady.recordTransfer(2_000);
        }
        open("new", 300);
        expect(closed).toEqual(["trickling"]);
    });

    // Guards against the loss of requests that are being run, and of whose callers nothing is expected.
    it("refuses what is asked for rather than closing connections that wait for the host", () => {
        const { closed, events, open } = createFixture();
        open("served", 900, { isWaitingForHost: true });
        const account = open("new");
        expect(account.take("body", 200)).toBe(false);
        expect({ closed, events }).toEqual({ closed: [], events: [["refused", "body"]] });
    });

    // Guards against well-behaved callers that make room for the one that holds most.
    it("refuses a connection that ranks before all others", () => {
        const { closed, open, setTime } = createFixture();
        open("small", 100);
        const account = open("large", 700);
        setTime(1_000);
        expect(account.take("body", 200)).toBe(false);
        expect(closed).toEqual([]);
        expect(account.getUsed()).toBe(710);
    });

    // Guards against a search among all connections for each byte beyond the limit.
    it("closes connections until a tenth of the limit is free", () => {
        const { budget, closed, open, setTime } = createFixture();
        Array.from({ length: 19 }, (_item, index) => open(`c${index}`, 40));
        setTime(100);
        open("new", 45);
        expect(closed).toHaveLength(3);
        expect(budget.getUsed()).toBeLessThanOrEqual(0.9 * LIMIT);
    });

    // Guards against closing all connections because those that have been closed still hold their memory, and against
    // memory far above the limit until they are closed.
    it("counts connections that are being closed only against a margin above the limit", () => {
        const { budget, closed, open, setTime } = createFixture();
        const closing = open("closing", 500, { isSlowToClose: true });
        open("other", 450);
        setTime(1_000);
        const account = open("new", 100);
        expect(closed).toEqual(["closing"]);
        expect(account.take("body", 100)).toBe(false);
        closing.give("body", 500);
        closing.close();
        expect(account.take("body", 100)).toBe(true);
        expect(budget.getUsed()).toBe(460 + 210);
    });

    // Guards against one kind that uses up all memory, such as bodies of which none can be answered.
    it("refuses bytes of a kind beyond the limit of that kind", () => {
        const { closed, open } = createFixture(300);
        open("a", 200);
        const account = open("b");
        expect(account.take("body", 200)).toBe(false);
        expect(account.take("head", 200)).toBe(true);
        expect(closed).toEqual([]);
    });

    // Guards against memory that is counted as free while a request of a closed connection still uses it, or never again.
    it("keeps what is in use after a connection has closed until it is given back", () => {
        const { budget, open } = createFixture();
        const account = open("a", 300);
        account.take("head", 50);
        account.close();
        expect(budget.getUsed()).toBe(300);
        account.give("body", 300);
        expect(budget.getUsed()).toBe(0);
    });
});
