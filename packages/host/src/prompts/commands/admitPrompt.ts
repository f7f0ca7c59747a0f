import { decideAdmission, planGang } from "@currantrill/core";
import { CallerError } from "../../callers/model/callerError.js";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { buildRoutingInput } from "../queries/buildRoutingInput.js";
import { recordDecision, routePrompt } from "./routePrompt.js";

const MS_PER_SECOND = 1_000;

interface ServiceEstimate {
    /** Expected time to first token from now with queueing, in milliseconds. */
    readonly firstTokenMs: number;
    /** Expected time to first token on an idle engine, in milliseconds. */
    readonly idleFirstTokenMs: number;
    readonly decodeTokensPerSecond: number;
}

/** Refuses a prompt that cannot be answered within its timeout, while the caller can still go elsewhere. */
export function admitPrompt(context: HostContext, job: PromptJob): void {
    const estimate = estimateService(context, job);
    const decodeMs = job.request.maxTokens / estimate.decodeTokensPerSecond * MS_PER_SECOND;
    job.serviceMs = estimate.idleFirstTokenMs + decodeMs;
    const admission = decideAdmission({
        deadlineMs: job.scope.deadlineMs,
        expectedFirstTokenMs: estimate.firstTokenMs,
        maxTokens: job.request.maxTokens,
        decodeTokensPerSecond: estimate.decodeTokensPerSecond,
    }, performance.now());
    if (admission.kind === "refuse") {
        throw new CallerError("overloaded", {
            retryAfterSeconds: Math.ceil(admission.retryAfterMs / MS_PER_SECOND),
        });
    }
}

function estimateService(context: HostContext, job: PromptJob): ServiceEstimate {
    const decision = routePrompt(context, job);
    const { outcome } = decision;
    if (outcome.kind === "refuse") {
        recordDecision(context, job, decision);
        throw new CallerError("no_endpoint");
    }
    if (outcome.kind === "gang") {
        return estimateGang(context, job);
    }
    if (outcome.kind === "wait") {
        return {
            ...estimateIdle(context, job),
            firstTokenMs: outcome.expectedFirstTokenMs + estimateQueueMs(context, job),
        };
    }
    const { endpoint: view } = outcome;
    return {
        firstTokenMs: outcome.expectedFirstTokenMs + estimateQueueMs(context, job),
        idleFirstTokenMs: (job.request.promptTokens - outcome.cachedTokens) / view.prefillTokensPerSecond
            * MS_PER_SECOND,
        decodeTokensPerSecond: view.decodeTokensPerSecond,
    };
}

/** Time on an idle engine, for a prompt that waits for room. */
function estimateIdle(context: HostContext, job: PromptJob): Omit<ServiceEstimate, "firstTokenMs"> {
    const { candidates } = buildRoutingInput(context, job);
    const prefillRate = Math.max(1, Math.min(...candidates.map(view => view.prefillTokensPerSecond)));
    return {
        idleFirstTokenMs: job.request.promptTokens / prefillRate * MS_PER_SECOND,
        decodeTokensPerSecond: Math.max(1, Math.min(...candidates.map(view => view.decodeTokensPerSecond))),
    };
}

function estimateGang(context: HostContext, job: PromptJob): ServiceEstimate {
    const input = buildRoutingInput(context, job);
    if (planGang(context.settings.routing.policy, input).plan.kind === "too_large") {
        throw new CallerError("no_endpoint", {
            message: "The prompt needs more memory than all its endpoints have together now.",
        });
    }
    const largest = Math.max(1, ...input.candidates.map(view => view.memoryTokens));
    const members = Math.max(2, Math.ceil((job.request.promptTokens + job.request.maxTokens) / largest));
    const slowest = (read: (view: (typeof input.candidates)[number]) => number): number =>
        Math.max(1, Math.min(...input.candidates.map(read)));
    const prefillRate = slowest(view => view.prefillTokensPerSecond) * members;
    const idleFirstTokenMs = job.request.promptTokens / prefillRate * MS_PER_SECOND;
    return {
        firstTokenMs: idleFirstTokenMs + estimateQueueMs(context, job),
        idleFirstTokenMs,
        decodeTokensPerSecond: slowest(view => view.decodeTokensPerSecond),
    };
}

/** Time that the engines need for the prompts that already wait at this host. */
function estimateQueueMs(context: HostContext, job: PromptJob): number {
    const views = context.beliefs.getAll();
    const rate = job.allowed.reduce((sum, id) => sum + (views.get(id)?.prefillTokensPerSecond ?? 0), 0);
    return rate === 0 ? 0 : context.queue.sumWaitingTokens() / rate * MS_PER_SECOND;
}
