import { describe, expect, it } from "vitest";
import { checkShares } from "../src/checkers/checkShares.js";
import { checkSilentConnections, checkWholeStreams } from "../src/checkers/checkStreams.js";
import type { HistoryFact } from "../src/index.js";
import { answered, buildHistory, called, type TimedFact } from "./histories.js";

const share = (host: string, fraction: number): HistoryFact => ({ type: "share", host, fraction });
const attempt = (name: string): HistoryFact => ({ type: "streamAttempt", operation: "o1", attempt: name });
const token = (index: number, name = "a1", request = "o1"): HistoryFact => ({
    type: "token",
    operation: "o1",
    attempt: name,
    index,
    request,
});
const begun: TimedFact[] = [[0, called("o1", "k", "2")], [0, attempt("a1")], [10, token(0)]];
const whole: TimedFact[] = [...begun, [20, token(1)], [21, answered("o1")]];
const resumed: TimedFact[] = [...begun, [20, attempt("a2")], [30, token(1, "a2")], [31, answered("o1")]];

const cases: { name: string; check: typeof checkShares; good: TimedFact[]; bad: TimedFact[]; }[] = [
    { name: "truncated stream", check: checkWholeStreams, good: whole, bad: [...begun, [21, answered("o1")]] },
    {
        name: "repeated token",
        check: checkWholeStreams,
        good: whole,
        bad: [...begun, [11, token(0)], [21, answered("o1")]],
    },
    {
        name: "token of another request",
        check: checkWholeStreams,
        good: whole,
        bad: [...begun, [20, token(1, "a1", "o2")]],
    },
    {
        name: "late token",
        check: checkWholeStreams,
        good: resumed,
        bad: [...begun, [20, attempt("a2")], [30, token(1)]],
    },
    { name: "silence", check: checkSilentConnections, good: whole, bad: [...begun, [5_000, answered("o1")]] },
    {
        name: "shares above the entitlement",
        check: checkShares,
        good: [[0, share("h1", 0.5)], [0, share("h2", 0.5)]],
        bad: [[0, share("h1", 0.5)], [0, share("h2", 0.6)]],
    },
];

describe.each(cases)("$name", ({ check, good, bad }) => {
    it("is found", () => expect(check(buildHistory(bad))).not.toEqual([]));
    it("is not claimed of a good history", () => expect(check(buildHistory(good))).toEqual([]));
});
