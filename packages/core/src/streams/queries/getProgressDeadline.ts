import type { ProgressLimits, StreamState } from "../model/streamState.js";

/** Time at which the endpoint counts as unresponsive unless a token of the current attempt arrives before. */
export function getProgressDeadline(state: StreamState, limits: ProgressLimits): number {
    return state.progressAtMs + (state.attemptHasToken ? limits.betweenTokensMs : limits.firstTokenMs);
}
