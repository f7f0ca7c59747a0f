/** Checkers of the guarantees for single calls. */
import { CALL_RETENTION_MS } from "@currantrill/core";
import { formatAnswerBody } from "../calls/fakeService.js";
import { type EventOfType, type History, listEvents, splitBy } from "../model/history.js";

/** Allowance for the time that a host takes to pass an answer on. */
const ANSWER_SLACK_MS = 20;

/**
 * P1: every operation ends by its deadline, not counting time in which its host was paused, and none is sent after the
 * deadline.
 */
export function checkInTime(history: History): string[] {
    const answers = new Map(listEvents(history, "answered").map(event => [event.operation, event]));
    const sends = new Map(listEvents(history, "sent").map(event => [event.operation, event]));
    return listEvents(history, "called").flatMap(called => {
        const answer = answers.get(called.operation);
        const lateMs = answer === undefined
            ? Infinity
            : answer.atMs - called.deadlineMs - measurePause(history, called, answer.atMs);
        const sent = sends.get(called.operation);
        return [
            ...lateMs > ANSWER_SLACK_MS ? [`${called.operation} is answered ${lateMs} ms after its deadline`] : [],
            ...sent !== undefined && sent.atMs > called.deadlineMs
                ? [`${called.operation} is sent ${sent.atMs - called.deadlineMs} ms after its deadline`]
                : [],
        ];
    });
}

/** Time between a call and `untilMs` during which the host was paused. */
function measurePause(history: History, called: EventOfType<"called">, untilMs: number): number {
    let totalMs = 0;
    let sinceMs: number | undefined;
    for (const event of history) {
        if (
            event.atMs > untilMs || (event.type !== "paused" && event.type !== "resumed") || event.host !== called.host
        ) {
            continue;
        }
        if (event.type === "paused") {
            sinceMs = event.atMs;
        }
        else if (sinceMs !== undefined) {
            totalMs += Math.max(0, event.atMs - Math.max(sinceMs, called.atMs));
            sinceMs = undefined;
        }
    }
    // A process that is killed while paused is never resumed.
    return sinceMs === undefined ? totalMs : totalMs + untilMs - Math.max(sinceMs, called.atMs);
}

/** P5: no call is executed twice for the same key within the retention. */
export function checkAtMostOnce(history: History): string[] {
    const byKey = splitBy(listEvents(history, "executed"), event => event.key);
    return [...byKey].flatMap(([key, runs]) =>
        runs.flatMap((run, index) => {
            const before = runs[index - 1];
            return before !== undefined && run.atMs - before.atMs < CALL_RETENTION_MS
                ? [`${key} runs for ${before.operation} at ${before.atMs} and for ${run.operation} at ${run.atMs}`]
                : [];
        })
    );
}

/** P4: an operation that is reported as not run was not sent or executed, and never is. */
export function checkNotRun(history: History): string[] {
    const notRun = new Set(
        listEvents(history, "answered").filter(event => event.outcome === "not_run").map(event => event.operation),
    );
    return history.flatMap(event =>
        (event.type === "executed" || event.type === "sent") && notRun.has(event.operation)
            ? [`${event.operation} is reported as not run and is ${event.type} at ${event.atMs}`]
            : []
    );
}

/** P3: an answer is complete, belongs to the request, and comes from an earlier execution. */
export function checkWholeAnswers(history: History): string[] {
    const calls = new Map(listEvents(history, "called").map(event => [event.operation, event]));
    return listEvents(history, "answered").flatMap(({ operation, outcome, body, atMs }) => {
        const call = calls.get(operation);
        if (outcome !== "answered" || call === undefined) {
            return [];
        }
        const expected = formatAnswerBody(call.key, call.payload);
        const executed = listEvents(history, "executed").some(event =>
            event.key === call.key && event.payload === call.payload && event.atMs <= atMs
        );
        return [
            ...body === expected ? [] : [`${operation} receives "${body.slice(0, 40)}" of ${body.length} characters`],
            ...executed ? [] : [`${operation} receives an answer that nothing executed`],
        ];
    });
}

/** P7: a host that drains for a planned stop answers every call that it admitted, unless it is killed. */
export function checkPlannedStop(history: History): string[] {
    const killed = new Set(listEvents(history, "killed").map(event => `${event.host}@${event.atMs}`));
    const calls = new Map(listEvents(history, "called").map(event => [event.operation, event]));
    return listEvents(history, "answered").flatMap(({ operation, outcome, atMs }) => {
        const host = calls.get(operation)?.host;
        return outcome === "broken" && host !== undefined && !killed.has(`${host}@${atMs}`)
            ? [`${operation} is interrupted by the planned stop of ${host}`]
            : [];
    });
}
