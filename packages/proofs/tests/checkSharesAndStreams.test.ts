import { describe, expect, it } from "vitest";
import { checkShares } from "../src/checkers/checkShares.js";
import { checkSilentConnections, checkWholeStreams } from "../src/checkers/checkStreams.js";
import type { EventData } from "../src/index.js";
import { answered, buildHistory, called, type TimedEvent } from "./histories.js";

const share = (host: string, fraction: number): EventData => ({ type: "share", host, fraction });
const attempt = (name: string): EventData => ({ type: "streamAttempt", operation: "o1", attempt: name });
const token = (index: number, name = "a1", request = "o1"): EventData => ({
    type: "token",
    operation: "o1",
    attempt: name,
    index,
    request,
});
const started: TimedEvent[] = [[0, called("o1", "k", "2")], [0, attempt("a1")], [10, token(0)]];
const complete: TimedEvent[] = [...started, [20, token(1)], [21, answered("o1")]];
const resumed: TimedEvent[] = [...started, [20, attempt("a2")], [30, token(1, "a2")], [31, answered("o1")]];

const cases: { name: string; check: typeof checkShares; valid: TimedEvent[]; invalid: TimedEvent[]; }[] = [
    {
        name: "truncated stream",
        check: checkWholeStreams,
        valid: complete,
        invalid: [...started, [21, answered("o1")]],
    },
    {
        name: "repeated token",
        check: checkWholeStreams,
        valid: complete,
        invalid: [...started, [11, token(0)], [21, answered("o1")]],
    },
    {
        name: "token of another request",
        check: checkWholeStreams,
        valid: complete,
        invalid: [...started, [20, token(1, "a1", "o2")]],
    },
    {
        name: "token of an aborted attempt",
        check: checkWholeStreams,
        valid: resumed,
        invalid: [...started, [20, attempt("a2")], [30, token(1)]],
    },
    {
        name: "connection without progress",
        check: checkSilentConnections,
        valid: complete,
        invalid: [...started, [5_000, answered("o1")]],
    },
    {
        name: "shares above the entitlement",
        check: checkShares,
        valid: [[0, share("h1", 0.5)], [0, share("h2", 0.5)]],
        invalid: [[0, share("h1", 0.5)], [0, share("h2", 0.6)]],
    },
];

describe.each(cases)("$name", ({ check, valid, invalid }) => {
    it("is reported", () => expect(check(buildHistory(invalid))).not.toEqual([]));
    it("is not reported for a valid history", () => expect(check(buildHistory(valid))).toEqual([]));
});
