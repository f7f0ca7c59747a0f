/** Calls that may run more than once: no record, and another try when one fails. */
import { addRetryTokens, spendRetry } from "@currantrill/core";
import { CallerError } from "../../callers/model/callerError.js";
import { getRemainingMs } from "../../callers/model/requestScope.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import type { ServiceAnswer, ServiceCall } from "../model/serviceCall.js";
import { chooseServiceEndpoint } from "./chooseServiceEndpoint.js";
import { sendCall } from "./sendCall.js";

/** Resolves with the answer of the first endpoint that gives a whole one. Rejects with a `CallerError`. */
export async function runIdempotentCall(context: HostContext, call: ServiceCall): Promise<ServiceAnswer> {
    let sent = false;
    for (;;) {
        const endpoint = chooseServiceEndpoint(context, call);
        if (endpoint === undefined) {
            throw new CallerError("no_endpoint", sent ? { outcome: "outcome_unknown" } : {});
        }
        const connections = context.clients.get(endpoint.url);
        const limitMs = Math.min(getRemainingMs(call.scope), context.settings.progress.service_ms);
        const release = context.services.begin(endpoint.name);
        const result = await sendCall(call, {
            connections,
            attemptId: createAttemptId(),
            signal: AbortSignal.any([call.scope.signal, AbortSignal.timeout(Math.ceil(limitMs))]),
            admit: () => context.lending.isUsable(endpoint.name),
        }).finally(release);
        if (result.kind === "answered") {
            context.prompts.retryBudget = addRetryTokens(context.prompts.retryBudget);
            return result.answer;
        }
        sent ||= result.bytesSent;
        if (call.scope.signal.aborted) {
            const { reason } = call.scope.signal as { reason: CallerError; };
            throw sent ? reason.toUnknownOutcome() : reason;
        }
        context.log.warn(
            { requestId: call.scope.requestId, endpoint: endpoint.name, err: result.error },
            "calls: failed",
        );
        context.services.markSuspect(endpoint.name);
        connections.renew();
        spendOrFail(context, sent);
    }
}

function spendOrFail(context: HostContext, sent: boolean): void {
    const { budget, allowed } = spendRetry(context.prompts.retryBudget);
    context.prompts.retryBudget = budget;
    if (!allowed) {
        throw sent
            ? new CallerError("endpoint_failed", { outcome: "outcome_unknown" })
            : new CallerError("endpoint_unreachable");
    }
    context.metrics.retries.inc({ reason: "service" });
}
