/** A prompt on its way from admission to the end of its answer. */
import { createStreamState, type QueuedRequest, type RoutingDecision, type StreamState } from "@currantrill/core";
import type { EndpointId } from "@currantrill/protocol";
import type { AnswerWriter } from "../../callers/model/answerWriter.js";
import type { PromptRequest } from "../../callers/model/promptRequest.js";
import type { RequestScope } from "../../callers/model/requestScope.js";
import type { Grant } from "../../limits/model/workspaceLimits.js";

export interface PromptJob {
    readonly scope: RequestScope;
    readonly request: PromptRequest;
    readonly writer: AnswerWriter;
    /** Endpoints that the rules let the workspace use for the model. */
    readonly allowed: readonly EndpointId[];
    /** The workspace's admission of the prompt. */
    readonly grant: Grant;
    stream: StreamState;
    /** Tokens that the caller has received. */
    delivered: number;
    /** Whether an engine may have begun to work on the prompt. */
    sent: boolean;
    /** Attempts that ended without the whole answer. */
    failures: number;
    /** Not sent again before this time, after a failure. */
    notBeforeMs: number;
    /** Expected time from the send to the last token on an idle engine, in milliseconds. */
    serviceMs: number;
    /** Engine to which the KV cache of the prompt was moved. */
    continueOn: EndpointId | undefined;
    /** Last routing decision. */
    decision: RoutingDecision | undefined;
}

export interface PromptJobOptions {
    readonly scope: RequestScope;
    readonly request: PromptRequest;
    readonly writer: AnswerWriter;
    readonly allowed: readonly EndpointId[];
    readonly grant: Grant;
}

export function createPromptJob(options: PromptJobOptions): PromptJob {
    return {
        ...options,
        stream: createStreamState(options.scope.requestId, options.request.maxTokens),
        delivered: 0,
        sent: false,
        failures: 0,
        notBeforeMs: 0,
        serviceMs: 0,
        continueOn: undefined,
        decision: undefined,
    };
}

/** Entry of the job in the queue of the host. */
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
