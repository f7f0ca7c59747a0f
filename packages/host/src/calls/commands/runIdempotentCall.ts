/** Runs calls to idempotent operations: they are not recorded, and a failed attempt is retried. */
import { addRetryTokens, spendRetry } from "@currantrill/core";
import { CallerError } from "../../callers/model/callerError.js";
import { getRemainingMs } from "../../callers/model/requestScope.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import type { ServiceAnswer, ServiceCall } from "../model/serviceCall.js";
import { chooseServiceEndpoint } from "./chooseServiceEndpoint.js";
import { sendCall } from "./sendCall.js";

/** The service endpoint has not answered within `progress.service_ms` or the rest of the caller's timeout. */
class CallTimeout extends Error {
    override readonly name = "CallTimeout";
    override readonly message = "The service endpoint did not answer in time.";
}

/**
 * Resolves with the first complete response. Retries on another endpoint, or over new connections, while the retry
 * budget and the timeout allow. Rejects with a `CallerError`.
 */
export async function runIdempotentCall(context: HostContext, call: ServiceCall): Promise<ServiceAnswer> {
    let mayHaveRun = false;
    for (;;) {
        const endpoint = chooseServiceEndpoint(context, call);
        if (endpoint === undefined) {
            throw new CallerError("no_endpoint", mayHaveRun ? { outcome: "outcome_unknown" } : {});
        }
        const connections = context.clients.get(endpoint.url);
        const timeoutMs = Math.min(getRemainingMs(call.scope), context.settings.progress.service_ms);
        const endCall = context.services.begin(endpoint.name);
        // Not `AbortSignal.timeout`: Node.js 20 collects such a signal within `AbortSignal.any` as garbage, and it never aborts.
        const timeout = new AbortController();
        const timer = setTimeout(() => timeout.abort(new CallTimeout()), timeoutMs);
        const result = await sendCall(call, {
            connections,
            attemptId: createAttemptId(),
            signal: AbortSignal.any([call.scope.signal, timeout.signal]),
            admit: () => context.lending.isUsable(endpoint.name),
        }).finally(() => {
            clearTimeout(timer);
            endCall();
        });
        if (result.kind === "answered") {
            context.prompts.retryBudget = addRetryTokens(context.prompts.retryBudget);
            return result.answer;
        }
        mayHaveRun ||= result.bytesSent;
        if (call.scope.signal.aborted) {
            const { reason } = call.scope.signal as { reason: CallerError; };
            throw mayHaveRun ? reason.toUnknownOutcome() : reason;
        }
        context.log.warn(
            { requestId: call.scope.requestId, endpoint: endpoint.name, err: result.error },
            "calls: attempt failed",
        );
        context.services.markSuspect(endpoint.name);
        connections.renew();
        spendRetryOrFail(context, mayHaveRun);
    }
}

/** Spends a retry token, or throws if the retry budget is exhausted. */
function spendRetryOrFail(context: HostContext, mayHaveRun: boolean): void {
    const { budget, allowed } = spendRetry(context.prompts.retryBudget);
    context.prompts.retryBudget = budget;
    if (!allowed) {
        throw mayHaveRun
            ? new CallerError("endpoint_failed", { outcome: "outcome_unknown" })
            : new CallerError("endpoint_unreachable");
    }
    context.metrics.retries.inc({ reason: "service" });
}
