import { decideAdmission, type EndpointView, isLongClass } from "@currantrill/core";
import { CallerError } from "../../callers/model/callerError.js";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { countLiveHosts } from "../queries/countLiveHosts.js";
import { planPromptGang } from "./planPromptGang.js";
import { logDecision, routePrompt } from "./routePrompt.js";

const MS_PER_SECOND = 1_000;
/** Smallest gang, used to estimate the prefill time of a prompt that does not fit one engine. */
const MIN_GANG_MEMBERS = 2;

/** Expected speed of serving a prompt, from the routing decision at its arrival. */
interface ServiceEstimate {
    /** Expected time from now to the first token, queueing included, in milliseconds. */
    readonly firstTokenMs: number;
    /** Expected time to first token on an idle engine, in milliseconds. */
    readonly idleFirstTokenMs: number;
    readonly decodeTokensPerSecond: number;
}

/**
 * Refuses a prompt that is not expected to be answered within its timeout, while the caller still has time to try
 * elsewhere. Throws a `CallerError` with the code `overloaded` or `no_endpoint`. Sets the job's `idleServiceMs`.
 */
export function admitPrompt(context: HostContext, job: PromptJob): void {
    const estimate = estimateService(context, job);
    const decodeMs = job.request.maxTokens / estimate.decodeTokensPerSecond * MS_PER_SECOND;
    job.idleServiceMs = estimate.idleFirstTokenMs + decodeMs;
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
    const { promptTokens } = job.request;
    switch (outcome.kind) {
        case "refuse":
            logDecision(context, job, decision);
            throw new CallerError("no_endpoint");
        case "gang":
            return estimateGang(context, job);
        case "wait": {
            const speed = findLowestSpeed(context, job);
            return {
                firstTokenMs: outcome.expectedFirstTokenMs + estimateQueueWaitMs(context, job),
                idleFirstTokenMs: promptTokens / speed.prefillTokensPerSecond * MS_PER_SECOND,
                decodeTokensPerSecond: speed.decodeTokensPerSecond,
            };
        }
        case "send": {
            const { cachedTokens, endpoint } = outcome;
            return {
                firstTokenMs: outcome.expectedFirstTokenMs + estimateQueueWaitMs(context, job),
                idleFirstTokenMs: (promptTokens - cachedTokens) / endpoint.prefillTokensPerSecond * MS_PER_SECOND,
                decodeTokensPerSecond: endpoint.decodeTokensPerSecond,
            };
        }
    }
}

function estimateGang(context: HostContext, job: PromptJob): ServiceEstimate {
    const plan = planPromptGang(context, job);
    if (plan.kind === "too_large") {
        throw new CallerError("no_endpoint", {
            message: "The prompt needs more memory than all its endpoints have together now.",
        });
    }
    const speed = findLowestSpeed(context, job);
    const idleFirstTokenMs = job.request.promptTokens / MIN_GANG_MEMBERS / speed.prefillTokensPerSecond * MS_PER_SECOND;
    const expectedMs = plan.kind === "members" ? plan.expectedFirstTokenMs : idleFirstTokenMs;
    return {
        firstTokenMs: expectedMs + estimateQueueWaitMs(context, job),
        idleFirstTokenMs,
        decodeTokensPerSecond: speed.decodeTokensPerSecond,
    };
}

interface EngineSpeed {
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
}

/** Finds the lowest prefill and decode rates of the endpoints that may serve the prompt. */
function findLowestSpeed(context: HostContext, job: PromptJob): EngineSpeed {
    const views = listAllowedViews(context, job);
    return {
        prefillTokensPerSecond: Math.max(1, Math.min(...views.map(view => view.prefillTokensPerSecond))),
        decodeTokensPerSecond: Math.max(1, Math.min(...views.map(view => view.decodeTokensPerSecond))),
    };
}

/**
 * Estimates the time that this host's share of the lane needs for the prompts already pending here, in milliseconds.
 */
function estimateQueueWaitMs(context: HostContext, job: PromptJob): number {
    const isLong = isLongClass(job.request.lengthClass);
    const { longLane } = context.prompts.lanes;
    const lane = listAllowedViews(context, job).filter(view => longLane.has(view.endpoint) === isLong);
    const rate = lane.reduce((sum, view) => sum + view.prefillTokensPerSecond, 0);
    return context.queue.estimateDelayMs(job.request.lengthClass, Math.max(1, rate / countLiveHosts(context)));
}

function listAllowedViews(context: HostContext, job: PromptJob): EndpointView[] {
    const views = context.endpointStates.getViews();
    return job.allowedEndpoints.map(id => views.get(id)).filter(view => view !== undefined);
}
