import { toAttemptId, toRequestId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    acceptStreamEvent,
    createStreamState,
    getProgressDeadline,
    startStreamAttempt,
    type StreamEvent,
    type StreamState,
} from "../../src/index.js";

const first = toAttemptId("first");
const second = toAttemptId("second");
const token = (index: number, attemptId = first, requestId?: string): StreamEvent => ({
    kind: "token",
    attemptId,
    index,
    requestId,
});
const terminator: StreamEvent = { kind: "terminator", attemptId: first };
const closed: StreamEvent = { kind: "closed", attemptId: first };

const start = (): StreamState => startStreamAttempt(createStreamState(toRequestId("r"), 3), first, 0);
const run = (state: StreamState, events: readonly StreamEvent[]): { state: StreamState; decisions: string[]; } => {
    const decisions: string[] = [];
    let current = state;
    for (const event of events) {
        const step = acceptStreamEvent(current, event, 10);
        current = step.state;
        decisions.push("reason" in step.decision ? step.decision.reason : step.decision.kind);
    }
    return { state: current, decisions };
};

describe("acceptStreamEvent guards against missing, repeated and misattributed tokens in an answer", () => {
    const cases = [
        {
            name: "complete answer",
            events: [token(0), token(1), terminator],
            decisions: ["deliver", "deliver", "finish"],
        },
        { name: "repeated token", events: [token(0), token(0)], decisions: ["deliver", "already_delivered"] },
        { name: "skipped token", events: [token(0), token(2)], decisions: ["deliver", "gap"] },
        { name: "token of another attempt", events: [token(0, second)], decisions: ["old_attempt"] },
        { name: "token of another request", events: [token(0, first, "other")], decisions: ["other_request"] },
        { name: "close without terminator", events: [token(0), closed], decisions: ["deliver", "no_terminator"] },
        { name: "terminator without a token", events: [terminator], decisions: ["no_token"] },
        {
            name: "more tokens than requested",
            events: [token(0), token(1), token(2), token(3)],
            decisions: ["deliver", "deliver", "deliver", "too_long"],
        },
        {
            name: "token after the end",
            events: [token(0), terminator, token(1)],
            decisions: ["deliver", "finish", "finished"],
        },
        { name: "token after a failed attempt", events: [token(1), token(0)], decisions: ["gap", "old_attempt"] },
    ];
    it.each(cases)("$name", ({ events, decisions }) => {
        expect(run(start(), events).decisions).toEqual(decisions);
    });

    it("resumes at the first token that was not delivered", () => {
        const failed = run(start(), [token(0), closed]).state;
        const resumed = startStreamAttempt(failed, second, 20);
        expect(resumed.nextIndex).toBe(1);
        expect(run(resumed, [token(1), token(1, second)]).decisions).toEqual(["old_attempt", "deliver"]);
    });
});

describe("getProgressDeadline guards against waiting without limit on an unresponsive connection", () => {
    const limits = { firstTokenMs: 100, betweenTokensMs: 30 };
    it.each([
        { name: "before the first token", events: [], deadline: 100 },
        { name: "after a token", events: [token(0)], deadline: 40 },
    ])("$name", ({ events, deadline }) => {
        expect(getProgressDeadline(run(start(), events).state, limits)).toBe(deadline);
    });
});
