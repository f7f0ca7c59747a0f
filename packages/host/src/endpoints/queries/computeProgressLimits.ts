import type { EndpointView, ProgressLimits } from "@currantrill/core";
import type { HostSettings } from "@currantrill/settings";

/** A prefill may take this many times as long as expected, since other hosts send to the same engine. */
const PREFILL_FACTOR = 4;

/** Limits on the progress of an attempt on an engine that is expected to need `expectedFirstTokenMs`. */
export function computeProgressLimits(
    progress: HostSettings["progress"],
    expectedFirstTokenMs: number,
): ProgressLimits {
    return {
        firstTokenMs: progress.first_token_ms + PREFILL_FACTOR * expectedFirstTokenMs,
        betweenTokensMs: progress.between_tokens_ms,
    };
}

/** Time that an engine needs to decode, in milliseconds. */
export const estimateDecodeMs = (view: EndpointView, tokens: number): number =>
    tokens / view.decodeTokensPerSecond * 1_000;
