import { describe, expect, it } from "vitest";
import { checkConfiguration } from "../src/checkers/checkConfiguration.js";
import { checkMemory } from "../src/checkers/checkMemory.js";
import { checkPartition } from "../src/checkers/checkPartition.js";
import { checkReclaim } from "../src/checkers/checkReclaim.js";
import { firstConfiguration } from "../src/cluster/clusterConfiguration.js";
import type { HistoryFact } from "../src/index.js";
import { buildHistory, type TimedFact } from "./histories.js";

const on = (type: "started" | "killed" | "paused", host = "h1"): HistoryFact => ({ type, host });
const withLending = (lending: string): string => JSON.stringify(firstConfiguration).replace("\"lent\"", `"${lending}"`);
const committed = (revision: number, ticket = revision, operation = `t${ticket}`, lending = "lent"): HistoryFact => ({
    type: "committed",
    revision,
    ticket,
    operation,
    content: withLending(lending),
});
const adopted = (revision: number, host = "h1", lending = "lent"): HistoryFact => ({
    type: "adopted",
    host,
    revision,
    content: withLending(lending),
});
const use = (type: "used" | "unused" = "used", endpoint = "e1", host = "h1"): HistoryFact => ({ type, host, endpoint });
const cut = (from: "platform" | "peers"): HistoryFact => ({ type: "cut", host: undefined, from });
const messages = (count: number): HistoryFact => ({ type: "messages", host: "h1", count });
const ticketCalled: HistoryFact = {
    type: "called",
    operation: "t2",
    host: "h1",
    action: "ticket",
    key: "2",
    payload: "",
    deadlineMs: 9_000,
};
const ticketAnswered = (outcome: "applied" | "refused", body = ""): HistoryFact => ({
    type: "answered",
    operation: "t2",
    outcome,
    body,
});
const held = (tokens: number, cause: "allocated" | "expired" | "releasedBySweeper"): HistoryFact => ({
    type: "held",
    standin: "engine",
    allocation: "i1.a1.0",
    tokens,
    cause,
});
const attempt = (type: "attemptBegan" | "attemptEnded"): HistoryFact => ({ type, host: "h1", attempt: "a1" });
const stop: HistoryFact = { type: "stopped", host: "h1", endpoint: "e1", lendEpoch: 1 };
const stopSeen: HistoryFact = { type: "reclaimSeen", host: "h1", endpoint: "e1", means: "stop", lendEpoch: 1 };

const begun: TimedFact[] = [[0, committed(1)], [0, on("started")], [9, adopted(1)]];
const reclaimed: TimedFact[] = [...begun, [100, committed(2, 2, "t2", "reclaimed")]];
const obeyed: TimedFact[] = [...reclaimed, [900, use()], [1_000, adopted(2, "h1", "reclaimed")], [
    1_500,
    use("unused"),
]];
const running: TimedFact[] = [[0, on("started")], [0, attempt("attemptBegan")], [1, held(5, "allocated")]];

const cases: { name: string; check: typeof checkMemory; good: TimedFact[]; bad: TimedFact[]; }[] = [
    { name: "goes back", check: checkConfiguration, good: obeyed, bad: [...obeyed, [1_600, adopted(1)]] },
    {
        name: "other content",
        check: checkConfiguration,
        good: obeyed,
        bad: [...obeyed.slice(0, 5), [1_000, adopted(2)]],
    },
    { name: "not in force", check: checkConfiguration, good: obeyed, bad: [...reclaimed, [9_000, use("unused")]] },
    {
        name: "number committed twice",
        check: checkConfiguration,
        good: [...obeyed],
        bad: [...obeyed, [2_000, committed(3, 2)], [2_100, adopted(3)]],
    },
    {
        name: "refused and committed",
        check: checkConfiguration,
        good: [...begun, [50, ticketCalled], [90, ticketAnswered("refused")]],
        bad: [...begun, [50, ticketCalled], [90, ticketAnswered("refused")], [99, committed(2)], [120, adopted(2)]],
    },
    {
        name: "applied and not committed",
        check: checkConfiguration,
        good: [...begun, [50, ticketCalled], [99, committed(2)], [110, ticketAnswered("applied", "2")], [
            120,
            adopted(2),
        ]],
        bad: [...begun, [50, ticketCalled], [110, ticketAnswered("applied", "2")]],
    },
    { name: "used although known", check: checkReclaim, good: obeyed, bad: [...obeyed, [1_600, use()]] },
    { name: "used although deliverable", check: checkReclaim, good: obeyed, bad: [...reclaimed, [5_200, use()]] },
    {
        name: "used after the longest silence",
        check: checkReclaim,
        good: [...reclaimed.slice(0, 3), [20, cut("platform")], [100, committed(2, 2, "t2", "reclaimed")], [
            10_100,
            use(),
        ]],
        bad: [...reclaimed.slice(0, 3), [20, cut("platform")], [100, committed(2, 2, "t2", "reclaimed")], [
            10_101,
            use(),
        ]],
    },
    {
        name: "used after a stop",
        check: checkReclaim,
        good: [...begun, [50, use()], [60, stop], [60, stopSeen]],
        bad: [...begun, [60, stop], [60, stopSeen], [70, use()]],
    },
    {
        name: "used after a withdrawal",
        check: checkReclaim,
        good: [...begun, [50, { type: "withdrawn", endpoint: "e1" }], [60, use()], [70, {
            ...stopSeen,
            means: "report",
        }]],
        bad: [...begun, [50, { type: "withdrawn", endpoint: "e1" }], [60, { ...stopSeen, means: "report" }], [
            70,
            use(),
        ]],
    },
    {
        name: "gives up early",
        check: checkPartition,
        good: [[0, on("started")], [11_000, use("used", "e2")], [12_000, use("used", "e2")]],
        bad: [[0, on("started")], [11_000, use("unused", "e2")], [12_000, use("used", "e2")]],
    },
    {
        name: "ends differently",
        check: checkPartition,
        good: [[0, on("started")], [0, on("started", "h2")], [9_000, use()], [9_000, use("used", "e1", "h2")]],
        bad: [[0, on("started")], [0, on("started", "h2")], [9_000, use()], [9_000, use("unused", "e1", "h2")]],
    },
    {
        name: "floods",
        check: checkPartition,
        good: [[0, on("started")], [1_000, messages(10)], [2_000, messages(10)], [3_000, messages(20)]],
        bad: [[0, on("started")], [1_000, messages(10)], [2_000, messages(10)], [3_000, messages(100)]],
    },
    { name: "leak", check: checkMemory, good: [...running, [9, held(0, "expired")]], bad: running },
    {
        name: "swept from a running attempt",
        check: checkMemory,
        good: [...running, [8, attempt("attemptEnded")], [9, held(0, "releasedBySweeper")]],
        bad: [...running, [9, held(0, "releasedBySweeper")]],
    },
];

describe.each(cases)("$name", ({ check, good, bad }) => {
    it("is found", () => expect(check(buildHistory(bad))).not.toEqual([]));
    it("is not claimed of a good history", () => expect(check(buildHistory(good))).toEqual([]));
});
