import { type RoutingDecision, routingPolicies } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { buildRoutingInput } from "../queries/buildRoutingInput.js";

/** Decides where the prompt goes now. An engine that already received its KV cache is preferred. */
export function routePrompt(context: HostContext, job: PromptJob): RoutingDecision {
    const input = buildRoutingInput(context, job);
    const continued = input.candidates.filter(view =>
        view.endpoint === job.continueOn && view.usable && view.suspectUntilMs <= input.now
    );
    const candidates = continued.length > 0 ? continued : input.candidates;
    const decision = routingPolicies[context.settings.routing.policy]({ ...input, candidates });
    context.prompts.random = decision.random;
    job.decision = decision;
    return decision;
}

/** Logs a decision that was carried out. */
export function recordDecision(context: HostContext, job: PromptJob, decision: RoutingDecision): void {
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
