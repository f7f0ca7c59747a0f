import type { Clocks } from "@currantrill/protocol";
import { measureElapsed } from "@currantrill/protocol";
import type { CallState, SendLimit } from "../model/callMachine.js";

/** Whether the first byte may be sent now. The driver checks this immediately before it writes to the connection. */
export function canSendCall(limit: SendLimit, now: Clocks): boolean {
    return now.wallMs <= limit.wallMs && now.monotonicMs <= limit.monotonicMs;
}

/** Milliseconds until the caller's deadline; 0 or less once it has passed. */
export function getRemainingMs(state: CallState, now: Clocks): number {
    return state.request.timeoutMs - measureElapsed(state.startedAt, now);
}

/** Computes the latest time for the first byte of a call, from the response to its `started` write on. */
export function computeSendLimit(state: CallState, now: Clocks): SendLimit {
    const { maxSendPauseMs, safeguards } = state.options;
    if (!safeguards.finalClockCheck) {
        return { wallMs: Infinity, monotonicMs: Infinity };
    }
    const remainingMs = safeguards.deadlineCheck ? getRemainingMs(state, now) : Infinity;
    const allowedDelayMs = Math.min(maxSendPauseMs, remainingMs);
    return { wallMs: now.wallMs + allowedDelayMs, monotonicMs: now.monotonicMs + allowedDelayMs };
}
