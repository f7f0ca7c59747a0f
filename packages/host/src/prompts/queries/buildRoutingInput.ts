import { defaultRoutingSettings, type EndpointView, findPrefixHits, type RoutingInput } from "@currantrill/core";
import { toFailureDomainId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { applyBorrowLimit } from "./applyBorrowLimit.js";

/**
 * Builds the input of the routing core for one prompt at the current time. A resumed prompt counts the tokens that were
 * already generated as part of its prompt.
 */
export function buildRoutingInput(context: HostContext, job: PromptJob): RoutingInput {
    const { prompts, settings } = context;
    const { request, scope } = job;
    const now = performance.now();
    const views = context.endpointStates.getViews();
    const allowed = job.allowedEndpoints.map(id => views.get(id)).filter((view): view is EndpointView =>
        view !== undefined
    );
    const otherMembers = [...prompts.pendingGangs].filter(([id]) => id !== scope.requestId).flatMap(([, ids]) => ids);
    return {
        request: {
            request: scope.requestId,
            workspace: scope.workspace.name,
            model: request.model,
            lengthClass: request.lengthClass,
            promptTokens: request.promptTokens + job.stream.nextIndex,
            maxTokens: request.maxTokens - job.stream.nextIndex,
            priority: scope.priority,
            deadlineMs: scope.deadlineMs,
            prefixHits: findPrefixHits(context.endpointStates.getPrefixIndex(), request.prefixHashes, now),
        },
        candidates: applyBorrowLimit(context, scope.workspace.name, allowed),
        failureDomain: toFailureDomainId(settings.failure_domain),
        lanes: prompts.lanes,
        withheld: new Set(otherMembers),
        settings: { ...defaultRoutingSettings, shortRequestWeight: settings.routing.short_request_weight },
        random: prompts.random,
        now,
    };
}
