import type { EndpointView, ProgressLimits } from "@currantrill/core";
import type { HostSettings } from "@currantrill/settings";

/** Prefill may take this many times the expected time, since other hosts send prompts to the same engine. */
const PREFILL_TIMEOUT_FACTOR = 4;

/** Computes the progress limits of an attempt whose first token is expected after `expectedFirstTokenMs`. */
export function computeProgressLimits(
    progress: HostSettings["progress"],
    expectedFirstTokenMs: number,
): ProgressLimits {
    return {
        firstTokenMs: progress.first_token_ms + PREFILL_TIMEOUT_FACTOR * expectedFirstTokenMs,
        betweenTokensMs: progress.between_tokens_ms,
    };
}

/** Estimates the time in milliseconds that an engine needs to decode a number of tokens. */
export const estimateDecodeMs = (view: EndpointView, tokens: number): number =>
    tokens / view.decodeTokensPerSecond * 1_000;
