import type { EndpointView } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";

const MS_PER_SECOND = 1_000;
/** Lower bound of the prefill time in the slowdown metric. Shorter prefills are dominated by network latency. */
const MIN_PREFILL_MS = 1;

/** Records the time to first token, and its ratio to the prefill time on an idle engine (slowdown). */
export function recordFirstTokenTime(context: HostContext, job: PromptJob, view: EndpointView): void {
    const { metrics } = context;
    const { lengthClass, promptTokens } = job.request;
    const elapsedMs = performance.now() - job.scope.arrivedAtMs;
    const prefillMs = Math.max(MIN_PREFILL_MS, promptTokens / view.prefillTokensPerSecond * MS_PER_SECOND);
    metrics.firstTokenSeconds.observe({ length_class: lengthClass }, elapsedMs / MS_PER_SECOND);
    metrics.slowdown.observe({ length_class: lengthClass }, elapsedMs / prefillMs);
}
