/** Serves a prompt: admission, then attempts until the answer is whole or the deadline has passed. */
import {
    addRetryTokens,
    computeBackoff,
    generateFractions,
    recordDemand,
    type RoutingDecision,
    spendRetry,
} from "@currantrill/core";
import { CallerError } from "../../callers/model/callerError.js";
import type { AttemptOutcome } from "../../endpoints/commands/runAttempt.js";
import type { HostContext } from "../../model/hostContext.js";
import { createQueueEntry, type PromptJob } from "../model/promptJob.js";
import { buildGenerateRequest } from "../queries/buildGenerateRequest.js";
import { admitPrompt } from "./admitPrompt.js";
import { recordDecision, routePrompt } from "./routePrompt.js";
import { runGang } from "./runGang.js";
import { runPromptAttempt } from "./runPromptAttempt.js";

/** Resolves when the whole answer is written. Rejects with a `CallerError` whose outcome is true. */
export async function servePrompt(context: HostContext, job: PromptJob): Promise<void> {
    const { lengthClass, promptTokens } = job.request;
    context.prompts.demand = recordDemand(context.prompts.demand, lengthClass, promptTokens, performance.now());
    try {
        admitPrompt(context, job);
        while (!await runNextAttempt(context, job)) {
            // Each attempt continues where the one before ended.
        }
        job.writer.finish();
    }
    catch (error) {
        throw job.sent && error instanceof CallerError ? error.toUnknownOutcome() : error;
    }
}

/** Runs one attempt. Returns whether the answer is whole. */
async function runNextAttempt(context: HostContext, job: PromptJob): Promise<boolean> {
    const outcome = await context.queue.run(job, () => {
        const decision = job.decision ?? routePrompt(context, job);
        recordDecision(context, job, decision);
        return decision.outcome.kind === "gang" ? runGang(context, job) : runSingle(context, job, decision);
    });
    if (outcome.kind === "finished") {
        context.prompts.retryBudget = addRetryTokens(context.prompts.retryBudget);
        return true;
    }
    job.failures += 1;
    if (outcome.kind !== "interrupted") {
        retryOrFail(context, job, outcome);
    }
    return false;
}

function runSingle(context: HostContext, job: PromptJob, decision: RoutingDecision): Promise<AttemptOutcome> {
    if (decision.outcome.kind !== "send") {
        throw new CallerError("no_endpoint");
    }
    const { endpoint: view, cachedTokens, enginePriority, expectedFirstTokenMs } = decision.outcome;
    const body = buildGenerateRequest(job, enginePriority);
    const prefillTokens = Math.max(1, job.request.promptTokens - cachedTokens);
    return runPromptAttempt(context, job, {
        attemptId: body.attempt_id,
        view,
        members: new Map([[view.endpoint, prefillTokens]]),
        body,
        expectedFirstTokenMs,
    });
}

/** Spends the retry budget, or gives the prompt up. Repeated failures are retried after a jittered backoff. */
function retryOrFail(context: HostContext, job: PromptJob, outcome: AttemptOutcome): void {
    const { budget, allowed } = spendRetry(context.prompts.retryBudget);
    context.prompts.retryBudget = budget;
    if (!allowed) {
        throw new CallerError(job.sent ? "endpoint_failed" : "endpoint_unreachable");
    }
    context.metrics.retries.inc({ reason: outcome.kind });
    job.grant.recordRetry(createQueueEntry(job).tokens);
    // The first retry goes to another endpoint at once.
    if (job.failures > 1) {
        const { values, next } = generateFractions(context.prompts.random, 1);
        context.prompts.random = next;
        job.notBeforeMs = performance.now() + computeBackoff(job.failures - 1, values[0] ?? 0);
    }
}
