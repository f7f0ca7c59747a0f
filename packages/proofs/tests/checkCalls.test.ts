import { describe, expect, it } from "vitest";
import {
    checkAtMostOnce,
    checkInTime,
    checkNotRun,
    checkPlannedStop,
    checkWholeAnswers,
} from "../src/checkers/checkCalls.js";
import { checkComplete } from "../src/checkers/checkComplete.js";
import { answered, buildHistory, called, executed, onHost, sent, type TimedFact } from "./histories.js";

const DAY_MS = 24 * 3_600_000;
const good: TimedFact[] = [[0, called("o1")], [5, sent("o1")], [9, executed("o1")], [12, answered("o1")]];

describe("a good history passes every checker", () => {
    const refused: TimedFact[] = [[0, called("o1")], [9, answered("o1", "not_run")]];
    const paused: TimedFact[] = [[0, called("o1")], [1, onHost("paused")], [500, onHost("resumed")], [
        501,
        answered("o1"),
    ]];
    const killed: TimedFact[] = [[0, called("o1")], [1, onHost("killed")], [1, answered("o1", "broken")]];
    const afterRetention: TimedFact[] = [...good, [8 * DAY_MS, executed("o2", 2)]];
    const cases = [
        { name: "answered", check: checkInTime, facts: good },
        { name: "late by the host's pause", check: checkInTime, facts: paused },
        { name: "run once", check: checkAtMostOnce, facts: good },
        { name: "run again after the retention", check: checkAtMostOnce, facts: afterRetention },
        { name: "refused", check: checkNotRun, facts: refused },
        { name: "whole", check: checkWholeAnswers, facts: good },
        { name: "broken by a kill", check: checkPlannedStop, facts: killed },
    ];
    it.each(cases)("$name", ({ check, facts }) => expect(check(buildHistory(facts))).toEqual([]));
});

describe("a bad history is found", () => {
    const replaceEnd = (
        fact: ReturnType<typeof answered>,
        atMs = 12,
    ): TimedFact[] => [...good.slice(0, 3), [atMs, fact]];
    const cases: { name: string; check: typeof checkInTime; facts: TimedFact[]; }[] = [
        { name: "answered late", check: checkInTime, facts: replaceEnd(answered("o1"), 121) },
        { name: "sent late", check: checkInTime, facts: [[0, called("o1")], [99, answered("o1")], [101, sent("o1")]] },
        { name: "run twice", check: checkAtMostOnce, facts: [...good, [20, executed("o2", 2)]] },
        { name: "not run although executed", check: checkNotRun, facts: replaceEnd(answered("o1", "not_run")) },
        {
            name: "not run and executed later",
            check: checkNotRun,
            facts: [[0, called("o1")], [9, answered("o1", "not_run")], [50, executed("o1")]],
        },
        { name: "truncated", check: checkWholeAnswers, facts: replaceEnd(answered("o1", "answered", "k")) },
        { name: "another caller's", check: checkWholeAnswers, facts: replaceEnd(answered("o1", "answered", "k2:a")) },
        { name: "never executed", check: checkWholeAnswers, facts: [[0, called("o1")], [9, answered("o1")]] },
        {
            name: "interrupted by a planned stop",
            check: checkPlannedStop,
            facts: [[0, called("o1")], [3, onHost("exited")], [3, answered("o1", "broken")]],
        },
    ];
    it.each(cases)("$name", ({ check, facts }) => expect(check(buildHistory(facts))).not.toEqual([]));
});

describe("a history with a gap never passes", () => {
    const history = buildHistory(good);
    const cases = [
        { name: "call without an end", history: buildHistory(good.slice(0, 3)) },
        { name: "call with two ends", history: buildHistory([...good, [13, answered("o1")]]) },
        { name: "end without a call", history: buildHistory(good.slice(1)) },
        { name: "missing sequence number", history: history.filter(event => event.seq !== 2) },
        { name: "missing ledger entry", history: buildHistory([...good, [13, executed("o1", 3)]]) },
        { name: "no last event", history: history.slice(0, -1) },
        { name: "empty", history: [] },
    ];
    it.each(cases)("$name", ({ history: incomplete }) => {
        expect(checkComplete(incomplete).every(finding => finding.startsWith("gap:"))).toBe(true);
        expect(checkComplete(incomplete)).not.toEqual([]);
    });
    it("and a complete one does", () => expect(checkComplete(history)).toEqual([]));
});
