/** Hand-written histories for the tests of the checkers. */
import type { History, HistoryFact } from "../src/index.js";

export type TimedFact = [atMs: number, fact: HistoryFact];

/** Numbers the facts and appends the last event. */
export const buildHistory = (facts: TimedFact[]): History =>
    [...facts, [facts.at(-1)?.[0] ?? 0, { type: "finished" }] satisfies TimedFact].map(([atMs, fact], index) => ({
        ...fact,
        seq: index + 1,
        atMs,
    }));

export const called = (operation: string, key = "k", payload = "a"): HistoryFact => ({
    type: "called",
    operation,
    host: "h1",
    action: "call",
    key,
    payload,
    deadlineMs: 100,
});
export const sent = (operation: string): HistoryFact => ({ type: "sent", operation, host: "h1" });
export const executed = (operation: string, standinSeq = 1, key = "k"): HistoryFact => ({
    type: "executed",
    standin: "service",
    standinSeq,
    operation,
    key,
    payload: "a",
});
export const answered = (operation: string, outcome: "answered" | "not_run" | "broken" = "answered", body = "k:a") =>
    ({ type: "answered", operation, outcome, body }) satisfies HistoryFact;
export const onHost = (type: "started" | "killed" | "paused" | "resumed" | "draining" | "exited"): HistoryFact => ({
    type,
    host: "h1",
});
