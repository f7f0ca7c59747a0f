import type { ProgressLimits, StreamState } from "../model/streamState.js";

/** Time at which the current attempt counts as silent unless a token arrives before, in milliseconds. */
export function getProgressDeadline(state: StreamState, limits: ProgressLimits): number {
    return state.progressAtMs + (state.attemptHasToken ? limits.betweenTokensMs : limits.firstTokenMs);
}
