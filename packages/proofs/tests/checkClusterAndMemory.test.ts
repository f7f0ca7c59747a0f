import { describe, expect, it } from "vitest";
import { checkConfiguration } from "../src/checkers/checkConfiguration.js";
import { checkMemory } from "../src/checkers/checkMemory.js";
import { checkPartition } from "../src/checkers/checkPartition.js";
import { checkReclaim } from "../src/checkers/checkReclaim.js";
import { firstConfiguration } from "../src/cluster/clusterConfiguration.js";
import type { EventData } from "../src/index.js";
import { buildHistory, type TimedEvent } from "./histories.js";

const on = (type: "started" | "killed" | "paused", host = "h1"): EventData => ({ type, host });
const withLending = (lending: string): string => JSON.stringify(firstConfiguration).replace("\"lent\"", `"${lending}"`);
const committed = (revision: number, ticket = revision, operation = `t${ticket}`, lending = "lent"): EventData => ({
    type: "committed",
    revision,
    ticket,
    operation,
    content: withLending(lending),
});
const adopted = (revision: number, host = "h1", lending = "lent"): EventData => ({
    type: "adopted",
    host,
    revision,
    content: withLending(lending),
});
const use = (type: "used" | "unused" = "used", endpoint = "e1", host = "h1"): EventData => ({ type, host, endpoint });
const disconnected = (from: "platform" | "peers"): EventData => ({ type: "disconnected", host: undefined, from });
const messages = (count: number): EventData => ({ type: "messages", host: "h1", count });
const ticketCalled: EventData = {
    type: "called",
    operation: "t2",
    host: "h1",
    action: "ticket",
    key: "2",
    payload: "",
    deadlineMs: 9_000,
};
const ticketAnswered = (outcome: "applied" | "refused", body = ""): EventData => ({
    type: "answered",
    operation: "t2",
    outcome,
    body,
});
const held = (tokens: number, cause: "allocated" | "expired" | "releasedBySweeper"): EventData => ({
    type: "held",
    standin: "engine",
    allocation: "i1.a1.0",
    tokens,
    cause,
});
const attempt = (type: "attemptBegan" | "attemptEnded"): EventData => ({ type, host: "h1", attempt: "a1" });
const stop: EventData = { type: "stopped", host: "h1", endpoint: "e1", lendEpoch: 1 };
const stopReceived: EventData = { type: "reclaimSeen", host: "h1", endpoint: "e1", via: "stop", lendEpoch: 1 };

const started: TimedEvent[] = [[0, committed(1)], [0, on("started")], [9, adopted(1)]];
const reclaimed: TimedEvent[] = [...started, [100, committed(2, 2, "t2", "reclaimed")]];
const obeyed: TimedEvent[] = [...reclaimed, [900, use()], [1_000, adopted(2, "h1", "reclaimed")], [
    1_500,
    use("unused"),
]];
const running: TimedEvent[] = [[0, on("started")], [0, attempt("attemptBegan")], [1, held(5, "allocated")]];

const cases: { name: string; check: typeof checkMemory; valid: TimedEvent[]; invalid: TimedEvent[]; }[] = [
    {
        name: "lower revision adopted",
        check: checkConfiguration,
        valid: obeyed,
        invalid: [...obeyed, [1_600, adopted(1)]],
    },
    {
        name: "revision with different content",
        check: checkConfiguration,
        valid: obeyed,
        invalid: [...obeyed.slice(0, 5), [1_000, adopted(2)]],
    },
    {
        name: "revision not adopted in time",
        check: checkConfiguration,
        valid: obeyed,
        invalid: [...reclaimed, [9_000, use("unused")]],
    },
    {
        name: "ticket number committed twice",
        check: checkConfiguration,
        valid: [...obeyed],
        invalid: [...obeyed, [2_000, committed(3, 2)], [2_100, adopted(3)]],
    },
    {
        name: "ticket refused and committed",
        check: checkConfiguration,
        valid: [...started, [50, ticketCalled], [90, ticketAnswered("refused")]],
        invalid: [...started, [50, ticketCalled], [90, ticketAnswered("refused")], [99, committed(2)], [
            120,
            adopted(2),
        ]],
    },
    {
        name: "ticket applied and not committed",
        check: checkConfiguration,
        valid: [...started, [50, ticketCalled], [99, committed(2)], [110, ticketAnswered("applied", "2")], [
            120,
            adopted(2),
        ]],
        invalid: [...started, [50, ticketCalled], [110, ticketAnswered("applied", "2")]],
    },
    {
        name: "used although the host knows of the reclaim",
        check: checkReclaim,
        valid: obeyed,
        invalid: [...obeyed, [1_600, use()]],
    },
    {
        name: "used although the reclaim was deliverable",
        check: checkReclaim,
        valid: obeyed,
        invalid: [...reclaimed, [5_200, use()]],
    },
    {
        name: "used after the maximum time without confirmation",
        check: checkReclaim,
        valid: [...reclaimed.slice(0, 3), [20, disconnected("platform")], [100, committed(2, 2, "t2", "reclaimed")], [
            10_100,
            use(),
        ]],
        invalid: [...reclaimed.slice(0, 3), [20, disconnected("platform")], [100, committed(2, 2, "t2", "reclaimed")], [
            10_101,
            use(),
        ]],
    },
    {
        name: "used after a stop",
        check: checkReclaim,
        valid: [...started, [50, use()], [60, stop], [60, stopReceived]],
        invalid: [...started, [60, stop], [60, stopReceived], [70, use()]],
    },
    {
        name: "used after a withdrawal",
        check: checkReclaim,
        valid: [...started, [50, { type: "withdrawn", endpoint: "e1" }], [60, use()], [70, {
            ...stopReceived,
            via: "report",
        }]],
        invalid: [
            ...started,
            [50, { type: "withdrawn", endpoint: "e1" }],
            [60, { ...stopReceived, via: "report" }],
            [
                70,
                use(),
            ],
        ],
    },
    {
        name: "use ended too early in a partition",
        check: checkPartition,
        valid: [[0, on("started")], [11_000, use("used", "e2")], [12_000, use("used", "e2")]],
        invalid: [[0, on("started")], [11_000, use("unused", "e2")], [12_000, use("used", "e2")]],
    },
    {
        name: "different decisions at the end",
        check: checkPartition,
        valid: [[0, on("started")], [0, on("started", "h2")], [9_000, use()], [9_000, use("used", "e1", "h2")]],
        invalid: [[0, on("started")], [0, on("started", "h2")], [9_000, use()], [9_000, use("unused", "e1", "h2")]],
    },
    {
        name: "too many messages",
        check: checkPartition,
        valid: [[0, on("started")], [1_000, messages(10)], [2_000, messages(10)], [3_000, messages(20)]],
        invalid: [[0, on("started")], [1_000, messages(10)], [2_000, messages(10)], [3_000, messages(100)]],
    },
    { name: "memory leak", check: checkMemory, valid: [...running, [9, held(0, "expired")]], invalid: running },
    {
        name: "memory of a running attempt swept",
        check: checkMemory,
        valid: [...running, [8, attempt("attemptEnded")], [9, held(0, "releasedBySweeper")]],
        invalid: [...running, [9, held(0, "releasedBySweeper")]],
    },
];

describe.each(cases)("$name", ({ check, valid, invalid }) => {
    it("is reported", () => expect(check(buildHistory(invalid))).not.toEqual([]));
    it("is not reported for a valid history", () => expect(check(buildHistory(valid))).toEqual([]));
});
