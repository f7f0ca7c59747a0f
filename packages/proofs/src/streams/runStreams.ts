/** Simulates prompts whose attempts fail as scheduled. Each attempt resumes where the previous one stopped. */
import {
    acceptStreamEvent,
    createStreamState,
    getProgressDeadline,
    startStreamAttempt,
    type StreamEvent,
    type StreamState,
} from "@currantrill/core";
import { type AttemptId, toAttemptId, toRequestId } from "@currantrill/protocol";
import { createHistoryRecorder, type History, type HistoryRecorder } from "../model/history.js";
import type { SafeguardOverrides } from "../model/proof.js";
import { createTimeline, type Timeline } from "../simulation/timeline.js";
import type { ScheduledAttempt, StreamSchedule } from "./streamSchedule.js";

/** Longest time to the first token and between tokens in this scenario, before the attempt is aborted. */
export const progressLimits = { firstTokenMs: 1_000, betweenTokensMs: 500 } as const;
const SETTLE_MS = 60_000;

type ScheduledPrompt = StreamSchedule["prompts"][number];

interface Prompt {
    readonly operation: string;
    readonly scheduled: ScheduledPrompt;
    state: StreamState;
    attempts: number;
    ended: boolean;
}

interface StreamWorld {
    readonly timeline: Timeline;
    readonly recorder: HistoryRecorder;
    readonly overrides: SafeguardOverrides;
}

/** Runs one schedule and returns its history. */
export function runStreams(schedule: StreamSchedule, overrides: SafeguardOverrides): History {
    const timeline = createTimeline();
    const recorder = createHistoryRecorder(timeline.getNowMs);
    const world: StreamWorld = { timeline, recorder, overrides };
    schedule.prompts.forEach((scheduled, index) =>
        timeline.schedule(scheduled.atMs, () => beginPrompt(world, scheduled, `prompt-${index + 1}`))
    );
    timeline.runUntil(Math.max(...schedule.prompts.map(({ atMs, timeoutMs }) => atMs + timeoutMs)) + SETTLE_MS);
    recorder.record({ type: "finished" });
    return recorder.events;
}

function beginPrompt(world: StreamWorld, scheduled: ScheduledPrompt, operation: string): void {
    const { timeline, recorder } = world;
    const deadlineMs = timeline.getNowMs() + scheduled.timeoutMs;
    const payload = String(scheduled.tokens);
    recorder.record({
        type: "called",
        operation,
        host: "host-0",
        action: "prompt",
        key: operation,
        payload,
        deadlineMs,
    });
    const state = createStreamState(toRequestId(operation), scheduled.tokens);
    const prompt: Prompt = { operation, scheduled, state, attempts: 0, ended: false };
    timeline.schedule(scheduled.timeoutMs, () => endPrompt(world, prompt, "outcome_unknown"));
    beginAttempt(world, prompt);
}

function endPrompt({ recorder }: StreamWorld, prompt: Prompt, outcome: "answered" | "outcome_unknown"): void {
    if (!prompt.ended) {
        prompt.ended = true;
        const body = String(prompt.state.nextIndex);
        recorder.record({ type: "answered", operation: prompt.operation, outcome, body });
    }
}

function beginAttempt(world: StreamWorld, prompt: Prompt): void {
    const { timeline, recorder } = world;
    const { operation, scheduled } = prompt;
    const plan: ScheduledAttempt = scheduled.attempts[prompt.attempts]
        ?? { behaviour: "complete", after: 0, tokenDelayMs: 1, ignoresCancel: false };
    prompt.attempts += 1;
    const attempt = toAttemptId(`${operation}.${prompt.attempts}`);
    recorder.record({ type: "streamAttempt", operation, attempt });
    prompt.state = startStreamAttempt(prompt.state, attempt, timeline.getNowMs());
    sendTokens(world, prompt, attempt, plan);
    monitorProgress(world, prompt, attempt);
}

/** Schedules what the engine sends in this attempt. */
function sendTokens(world: StreamWorld, prompt: Prompt, attempt: AttemptId, plan: ScheduledAttempt): void {
    const events = listEngineEvents(prompt, attempt, plan);
    events.forEach((event, position) =>
        world.timeline.schedule((position + 1) * plan.tokenDelayMs, () => {
            if (prompt.state.attemptId === attempt || plan.ignoresCancel) {
                receiveEvent(world, prompt, event);
            }
        })
    );
}

function listEngineEvents(prompt: Prompt, attempt: AttemptId, { behaviour, after }: ScheduledAttempt): StreamEvent[] {
    const from = behaviour === "repeats" ? 0 : prompt.state.nextIndex;
    const count = Math.max(0, prompt.scheduled.tokens - from);
    const tokens = Array.from({ length: count }, (_, position): StreamEvent => ({
        kind: "token",
        attemptId: attempt,
        index: from + position,
        requestId: prompt.operation,
    }));
    const skipped = after < tokens.length - 1 ? after : tokens.length;
    const buildOtherToken = (index: number): StreamEvent => ({
        kind: "token",
        attemptId: attempt,
        index,
        requestId: "other",
    });
    const terminator: StreamEvent = { kind: "terminator", attemptId: attempt };
    const closed: StreamEvent = { kind: "closed", attemptId: attempt };
    const behaviours: Record<ScheduledAttempt["behaviour"], () => StreamEvent[]> = {
        complete: () => [...tokens, terminator],
        repeats: () => [...tokens, terminator],
        silent: () => tokens.slice(0, after),
        closes: () => [...tokens.slice(0, after), closed],
        // Never skips the last token: the result would look like a valid answer that ends early.
        skips: () => [...tokens.slice(0, skipped), ...tokens.slice(skipped + 1), terminator],
        mixes: () => [...tokens.slice(0, after), buildOtherToken(from + after), ...tokens.slice(after), terminator],
    };
    return behaviours[behaviour]();
}

function receiveEvent(world: StreamWorld, prompt: Prompt, received: StreamEvent): void {
    if (prompt.ended) {
        return;
    }
    const event = applyOverrides(world, prompt, received);
    const { state, decision } = acceptStreamEvent(prompt.state, event, world.timeline.getNowMs());
    prompt.state = state;
    switch (decision.kind) {
        case "deliver":
            recordToken(world, prompt, received);
            return;
        case "finish":
            endPrompt(world, prompt, "answered");
            return;
        case "broken":
            beginAttempt(world, prompt);
            return;
        case "drop":
            recordRepetition(world, prompt, received, decision.reason);
            return;
    }
}

/** Changes an event that a disabled safeguard would reject into one that is accepted. */
function applyOverrides({ overrides }: StreamWorld, { state }: Prompt, event: StreamEvent): StreamEvent {
    const attemptId = overrides.acceptLateTokens ? state.attemptId ?? event.attemptId : event.attemptId;
    const kind = event.kind === "closed" && overrides.acceptUnterminated ? "terminator" : event.kind;
    return { ...event, attemptId, kind } as StreamEvent;
}

function recordToken({ recorder }: StreamWorld, { operation }: Prompt, event: StreamEvent): void {
    if (event.kind === "token") {
        const { index, attemptId, requestId } = event;
        recorder.record({ type: "token", operation, attempt: attemptId, index, request: requestId ?? "" });
    }
}

/** A repeated token is not delivered, but counts as progress on the connection. */
function recordRepetition({ recorder }: StreamWorld, { operation }: Prompt, event: StreamEvent, reason: string): void {
    if (reason === "already_delivered") {
        recorder.record({ type: "repeated", operation, attempt: event.attemptId });
    }
}

/** Replaces an attempt that makes no progress within the limits by a new one. */
function monitorProgress(world: StreamWorld, prompt: Prompt, attempt: AttemptId): void {
    const { timeline } = world;
    if (world.overrides.noProgressLimit) {
        return;
    }
    const dueMs = getProgressDeadline(prompt.state, progressLimits);
    timeline.schedule(dueMs - timeline.getNowMs(), () => {
        if (prompt.ended || prompt.state.attemptId !== attempt) {
            return;
        }
        if (getProgressDeadline(prompt.state, progressLimits) > timeline.getNowMs()) {
            monitorProgress(world, prompt, attempt);
            return;
        }
        beginAttempt(world, prompt);
    });
}
