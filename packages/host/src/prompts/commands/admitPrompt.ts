import { decideAdmission, type EndpointView, isLongClass } from "@currantrill/core";
import { CallerError } from "../../callers/model/callerError.js";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { countHosts } from "../queries/countHosts.js";
import { planPromptGang } from "./planPromptGang.js";
import { recordDecision, routePrompt } from "./routePrompt.js";

const MS_PER_SECOND = 1_000;
/** A prompt that is larger than one engine needs at least two. */
const FEWEST_MEMBERS = 2;

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
    const { promptTokens } = job.request;
    switch (outcome.kind) {
        case "refuse":
            recordDecision(context, job, decision);
            throw new CallerError("no_endpoint");
        case "gang":
            return estimateGang(context, job);
        case "wait": {
            const speed = findSlowest(context, job);
            return {
                firstTokenMs: outcome.expectedFirstTokenMs + estimateQueueMs(context, job),
                idleFirstTokenMs: promptTokens / speed.prefillTokensPerSecond * MS_PER_SECOND,
                decodeTokensPerSecond: speed.decodeTokensPerSecond,
            };
        }
        case "send": {
            const { cachedTokens, endpoint } = outcome;
            return {
                firstTokenMs: outcome.expectedFirstTokenMs + estimateQueueMs(context, job),
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
    const speed = findSlowest(context, job);
    const idleFirstTokenMs = job.request.promptTokens / FEWEST_MEMBERS / speed.prefillTokensPerSecond * MS_PER_SECOND;
    const expectedMs = plan.kind === "members" ? plan.expectedFirstTokenMs : idleFirstTokenMs;
    return {
        firstTokenMs: expectedMs + estimateQueueMs(context, job),
        idleFirstTokenMs,
        decodeTokensPerSecond: speed.decodeTokensPerSecond,
    };
}

interface Speed {
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
}

/** Speed of the slowest endpoint that may serve the prompt. */
function findSlowest(context: HostContext, job: PromptJob): Speed {
    const views = listViews(context, job);
    return {
        prefillTokensPerSecond: Math.max(1, Math.min(...views.map(view => view.prefillTokensPerSecond))),
        decodeTokensPerSecond: Math.max(1, Math.min(...views.map(view => view.decodeTokensPerSecond))),
    };
}

/** Time that this host's part of the lane needs for the prompts that already wait here. */
function estimateQueueMs(context: HostContext, job: PromptJob): number {
    const isLong = isLongClass(job.request.lengthClass);
    const { longLane } = context.prompts.lanes;
    const lane = listViews(context, job).filter(view => longLane.has(view.endpoint) === isLong);
    const rate = lane.reduce((sum, view) => sum + view.prefillTokensPerSecond, 0);
    return context.queue.estimateDelayMs(job.request.lengthClass, Math.max(1, rate / countHosts(context)));
}

function listViews(context: HostContext, job: PromptJob): EndpointView[] {
    const views = context.beliefs.getAll();
    return job.allowed.map(id => views.get(id)).filter(view => view !== undefined);
}
