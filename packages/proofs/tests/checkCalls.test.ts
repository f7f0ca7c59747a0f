import { describe, expect, it } from "vitest";
import {
    checkAtMostOnce,
    checkInTime,
    checkNotRun,
    checkPlannedStop,
    checkWholeAnswers,
} from "../src/checkers/checkCalls.js";
import { checkComplete } from "../src/checkers/checkComplete.js";
import { answered, buildHistory, called, executed, onHost, sent, type TimedEvent } from "./histories.js";

const DAY_MS = 24 * 3_600_000;
const valid: TimedEvent[] = [[0, called("o1")], [5, sent("o1")], [9, executed("o1")], [12, answered("o1")]];

describe("a valid history passes every checker", () => {
    const refused: TimedEvent[] = [[0, called("o1")], [9, answered("o1", "not_run")]];
    const paused: TimedEvent[] = [[0, called("o1")], [1, onHost("paused")], [500, onHost("resumed")], [
        501,
        answered("o1"),
    ]];
    const killed: TimedEvent[] = [[0, called("o1")], [1, onHost("killed")], [1, answered("o1", "broken")]];
    const afterRetention: TimedEvent[] = [...valid, [8 * DAY_MS, executed("o2", 2)]];
    const cases = [
        { name: "answered", check: checkInTime, events: valid },
        { name: "late because the host was paused", check: checkInTime, events: paused },
        { name: "executed once", check: checkAtMostOnce, events: valid },
        { name: "executed again after the retention", check: checkAtMostOnce, events: afterRetention },
        { name: "refused", check: checkNotRun, events: refused },
        { name: "complete", check: checkWholeAnswers, events: valid },
        { name: "broken by a kill", check: checkPlannedStop, events: killed },
    ];
    it.each(cases)("$name", ({ check, events }) => expect(check(buildHistory(events))).toEqual([]));
});

describe("a violation is reported", () => {
    const replaceEnd = (
        last: ReturnType<typeof answered>,
        atMs = 12,
    ): TimedEvent[] => [...valid.slice(0, 3), [atMs, last]];
    const cases: { name: string; check: typeof checkInTime; events: TimedEvent[]; }[] = [
        { name: "answered late", check: checkInTime, events: replaceEnd(answered("o1"), 121) },
        { name: "sent late", check: checkInTime, events: [[0, called("o1")], [99, answered("o1")], [101, sent("o1")]] },
        { name: "executed twice", check: checkAtMostOnce, events: [...valid, [20, executed("o2", 2)]] },
        {
            name: "reported as not run although executed",
            check: checkNotRun,
            events: replaceEnd(answered("o1", "not_run")),
        },
        {
            name: "reported as not run and executed later",
            check: checkNotRun,
            events: [[0, called("o1")], [9, answered("o1", "not_run")], [50, executed("o1")]],
        },
        { name: "truncated", check: checkWholeAnswers, events: replaceEnd(answered("o1", "answered", "k")) },
        {
            name: "answer to another request",
            check: checkWholeAnswers,
            events: replaceEnd(answered("o1", "answered", "k2:a")),
        },
        { name: "never executed", check: checkWholeAnswers, events: [[0, called("o1")], [9, answered("o1")]] },
        {
            name: "interrupted by a planned stop",
            check: checkPlannedStop,
            events: [[0, called("o1")], [3, onHost("exited")], [3, answered("o1", "broken")]],
        },
    ];
    it.each(cases)("$name", ({ check, events }) => expect(check(buildHistory(events))).not.toEqual([]));
});

describe("a history with a gap is reported as such", () => {
    const history = buildHistory(valid);
    const cases = [
        { name: "call without an end", history: buildHistory(valid.slice(0, 3)) },
        { name: "call with two ends", history: buildHistory([...valid, [13, answered("o1")]]) },
        { name: "end without a call", history: buildHistory(valid.slice(1)) },
        { name: "missing sequence number", history: history.filter(event => event.seq !== 2) },
        { name: "missing ledger entry", history: buildHistory([...valid, [13, executed("o1", 3)]]) },
        { name: "no last event", history: history.slice(0, -1) },
        { name: "empty", history: [] },
    ];
    it.each(cases)("$name", ({ history: incomplete }) => {
        expect(checkComplete(incomplete).every(finding => finding.startsWith("gap:"))).toBe(true);
        expect(checkComplete(incomplete)).not.toEqual([]);
    });
    it("a complete history has no gaps", () => expect(checkComplete(history)).toEqual([]));
});
