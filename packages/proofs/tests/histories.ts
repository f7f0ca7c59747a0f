/** Hand-written histories for the tests of the checkers. */
import type { EventData, History } from "../src/index.js";

export type TimedEvent = [atMs: number, event: EventData];

/** Numbers the events and appends the last event of a complete history. */
export const buildHistory = (events: TimedEvent[]): History =>
    [...events, [events.at(-1)?.[0] ?? 0, { type: "finished" }] satisfies TimedEvent].map(([atMs, event], index) => ({
        ...event,
        seq: index + 1,
        atMs,
    }));

export const called = (operation: string, key = "k", payload = "a"): EventData => ({
    type: "called",
    operation,
    host: "h1",
    action: "call",
    key,
    payload,
    deadlineMs: 100,
});
export const sent = (operation: string): EventData => ({ type: "sent", operation, host: "h1" });
export const executed = (operation: string, standinSeq = 1, key = "k"): EventData => ({
    type: "executed",
    standin: "service",
    standinSeq,
    operation,
    key,
    payload: "a",
});
export const answered = (operation: string, outcome: "answered" | "not_run" | "broken" = "answered", body = "k:a") =>
    ({ type: "answered", operation, outcome, body }) satisfies EventData;
export const onHost = (type: "started" | "killed" | "paused" | "resumed" | "draining" | "exited"): EventData => ({
    type,
    host: "h1",
});
