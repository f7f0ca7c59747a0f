/** State of one prompt on the host, from its admission to the end of its answer. */
import { createStreamState, type QueuedRequest, type RoutingDecision, type StreamState } from "@currantrill/core";
import type { EndpointId } from "@currantrill/protocol";
import type { CompletionWriter } from "../../callers/model/completionWriter.js";
import type { PromptRequest } from "../../callers/model/promptRequest.js";
import type { RequestScope } from "../../callers/model/requestScope.js";
import type { Grant } from "../../limits/model/workspaceLimits.js";

/** A prompt with the state that its attempts share. Times are in milliseconds on the monotonic clock. */
export interface PromptJob {
    readonly scope: RequestScope;
    readonly request: PromptRequest;
    readonly writer: CompletionWriter;
    /** Endpoints that the lending rules let the workspace use for the model. */
    readonly allowedEndpoints: readonly EndpointId[];
    /** Charge against the workspace's entitlement. Ending it frees the prompt's concurrency slot. */
    readonly grant: Grant;
    /** Tokens received so far, and the index at which the next attempt resumes. */
    stream: StreamState;
    /** Number of tokens passed to `writer`. */
    deliveredTokens: number;
    /** Whether an engine may have started to process the prompt. Errors then report the outcome `outcome_unknown`. */
    mayHaveRun: boolean;
    /** Number of attempts that ended without the complete answer, interrupted ones included. */
    failures: number;
    /** Earliest time of the next attempt: the retry backoff after a failure. */
    notBeforeMs: number;
    /** Expected time from sending the prompt to an idle engine to its last token, in milliseconds. */
    idleServiceMs: number;
    /** Engine to which the prompt's KV cache was copied, which the next attempt prefers. */
    kvCacheEndpoint: EndpointId | undefined;
    decision: RoutingDecision | undefined;
}

/** The parts of a `PromptJob` that are known at admission. */
export interface PromptJobOptions {
    readonly scope: RequestScope;
    readonly request: PromptRequest;
    readonly writer: CompletionWriter;
    readonly allowedEndpoints: readonly EndpointId[];
    readonly grant: Grant;
}

export function createPromptJob(options: PromptJobOptions): PromptJob {
    return {
        ...options,
        stream: createStreamState(options.scope.requestId, options.request.maxTokens),
        deliveredTokens: 0,
        mayHaveRun: false,
        failures: 0,
        notBeforeMs: 0,
        idleServiceMs: 0,
        kvCacheEndpoint: undefined,
        decision: undefined,
    };
}

/**
 * Builds the job's entry in the request queue. Its token count is the remaining work, which retries are charged with.
 */
export function createQueueEntry(job: PromptJob): QueuedRequest {
    const { scope, request } = job;
    return {
        request: scope.requestId,
        workspace: scope.workspace.name,
        lengthClass: request.lengthClass,
        priority: scope.priority,
        weight: scope.workspace.weight,
        tokens: request.promptTokens + request.maxTokens - job.stream.nextIndex,
        enqueuedAtMs: scope.arrivedAtMs,
        deadlineMs: scope.deadlineMs,
        notBeforeMs: job.notBeforeMs,
    };
}
