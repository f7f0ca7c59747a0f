import { type RoutingDecision, routingPolicies } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { buildRoutingInput } from "../queries/buildRoutingInput.js";

/**
 * Makes a routing decision with the current endpoint views and stores it in the job. An engine that already received
 * the prompt's KV cache is the only candidate while it is usable and not suspect.
 */
export function routePrompt(context: HostContext, job: PromptJob): RoutingDecision {
    const input = buildRoutingInput(context, job);
    const kvCacheCandidates = input.candidates.filter(view =>
        view.endpoint === job.kvCacheEndpoint && view.usable && view.suspectUntilMs <= input.now
    );
    const candidates = kvCacheCandidates.length > 0 ? kvCacheCandidates : input.candidates;
    const decision = routingPolicies[context.settings.routing.policy]({ ...input, candidates });
    context.prompts.random = decision.random;
    job.decision = decision;
    return decision;
}

/** Logs a decision that is carried out, or that refuses the prompt. */
export function logDecision(context: HostContext, job: PromptJob, decision: RoutingDecision): void {
    const { outcome } = decision;
    context.log.info({
        requestId: job.scope.requestId,
        workspace: job.scope.workspace.name,
        lengthClass: job.request.lengthClass,
        choice: outcome.kind === "send" ? outcome.endpoint.endpoint : outcome.kind,
        expectedFirstTokenMs: outcome.kind === "send" ? Math.round(outcome.expectedFirstTokenMs) : undefined,
        candidates: decision.candidateCount,
        considered: decision.considered,
        reason: decision.reason,
        failures: job.failures,
    }, "routing: decision");
}
