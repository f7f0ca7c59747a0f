import type { Clocks } from "../../model/clocks.js";
import { measureElapsed } from "../../model/clocks.js";
import type { CallState, SendLimit } from "../model/callMachine.js";

/** Whether the first byte may be sent now. The driver asks immediately before it writes to the connection. */
export function canSendCall(limit: SendLimit, now: Clocks): boolean {
    return now.wallMs <= limit.wallMs && now.monotonicMs <= limit.monotonicMs;
}

/** Time until the caller's deadline; 0 or less once it has passed. */
export function getRemainingMs(state: CallState, now: Clocks): number {
    return state.request.timeoutMs - measureElapsed(state.startedAt, now);
}

/** Computes until when the first byte of a call may follow the response to its `start` write. */
export function computeSendLimit(state: CallState, now: Clocks): SendLimit {
    const { maxSendPauseMs, safeguards } = state.options;
    if (!safeguards.finalClockCheck) {
        return { wallMs: Infinity, monotonicMs: Infinity };
    }
    const remainingMs = safeguards.deadlineCheck ? getRemainingMs(state, now) : Infinity;
    const spanMs = Math.min(maxSendPauseMs, remainingMs);
    return { wallMs: now.wallMs + spanMs, monotonicMs: now.monotonicMs + spanMs };
}
