/** Serves a prompt: admits it, then runs attempts until the answer is complete or the deadline has passed. */
import {
    addRetryTokens,
    computeBackoff,
    generateFractions,
    recordLaneDemand,
    type RoutingDecision,
    spendRetry,
} from "@currantrill/core";
import { CallerError } from "../../callers/model/callerError.js";
import type { AttemptOutcome } from "../../endpoints/commands/runAttempt.js";
import type { HostContext } from "../../model/hostContext.js";
import { createQueueEntry, type PromptJob } from "../model/promptJob.js";
import { buildGenerateRequest } from "../queries/buildGenerateRequest.js";
import { admitPrompt } from "./admitPrompt.js";
import { logDecision, routePrompt } from "./routePrompt.js";
import { runGang } from "./runGang.js";
import { runPromptAttempt } from "./runPromptAttempt.js";

/**
 * Resolves when the complete answer is written to the caller. Rejects with a `CallerError`, whose outcome is `not_run`
 * only if no engine can have started to process the prompt.
 */
export async function servePrompt(context: HostContext, job: PromptJob): Promise<void> {
    const { lengthClass, promptTokens } = job.request;
    context.prompts.demand = recordLaneDemand(context.prompts.demand, lengthClass, promptTokens, performance.now());
    try {
        admitPrompt(context, job);
        while (!await runNextAttempt(context, job)) {
            // Each attempt resumes after the tokens of the previous one.
        }
        job.writer.finish();
    }
    catch (error) {
        throw job.mayHaveRun && error instanceof CallerError ? error.toUnknownOutcome() : error;
    }
}

/** Waits in the queue and runs one attempt. Resolves with whether the answer is complete. */
async function runNextAttempt(context: HostContext, job: PromptJob): Promise<boolean> {
    const outcome = await context.queue.run(job, () => {
        const decision = job.decision ?? routePrompt(context, job);
        logDecision(context, job, decision);
        return decision.outcome.kind === "gang" ? runGang(context, job) : runOnEngine(context, job, decision);
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

/** Runs an attempt on the engine that routing has chosen. */
function runOnEngine(context: HostContext, job: PromptJob, decision: RoutingDecision): Promise<AttemptOutcome> {
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

/**
 * Spends a retry token, or throws if the retry budget is exhausted. Second and later retries wait for a jittered
 * backoff.
 */
function retryOrFail(context: HostContext, job: PromptJob, outcome: AttemptOutcome): void {
    const { budget, allowed } = spendRetry(context.prompts.retryBudget);
    context.prompts.retryBudget = budget;
    if (!allowed) {
        throw new CallerError(job.mayHaveRun ? "endpoint_failed" : "endpoint_unreachable");
    }
    context.metrics.retries.inc({ reason: outcome.kind });
    job.grant.recordRetry(createQueueEntry(job).tokens);
    // The first retry starts immediately, since the failed endpoint is suspect and another one is preferred.
    if (job.failures > 1) {
        const { values, next } = generateFractions(context.prompts.random, 1);
        context.prompts.random = next;
        job.notBeforeMs = performance.now() + computeBackoff(job.failures - 1, values[0] ?? 0);
    }
}
