/** Runs one attempt of a prompt and keeps the endpoint views and the running attempts up to date. */
import {
    clearSuspect,
    type EndpointView,
    markSuspect,
    recordAttemptEnd,
    recordAttemptStart,
    recordFirstToken,
} from "@currantrill/core";
import type { AttemptId, EndpointId, GenerateRequest } from "@currantrill/protocol";
import { getRemainingMs } from "../../callers/model/requestScope.js";
import { cancelAttempt } from "../../endpoints/commands/cancelAttempt.js";
import { type AttemptOutcome, type BrokenAttempt, Interrupt, runAttempt } from "../../endpoints/commands/runAttempt.js";
import type { RunningAttempt } from "../../endpoints/model/runningAttempt.js";
import { computeProgressLimits, estimateDecodeMs } from "../../endpoints/queries/computeProgressLimits.js";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { recordFirstTokenTime } from "./recordFirstTokenTime.js";

/**
 * Time in milliseconds for which an endpoint is suspect after a failed attempt, so that others are preferred. `silent`
 * is an accepted prompt without progress, `unaccepted` one that the engine did not accept in time, `broken` any other
 * failure such as a lost connection. A refusal usually comes from a full engine, hence the short time.
 */
const SUSPECT_DURATION_MS = { broken: 3_000, silent: 1_000, refused: 250, unaccepted: 10_000 } as const;

/** Engines and request body of an attempt. */
export interface AttemptPlacement {
    readonly attemptId: AttemptId;
    /** The engine that streams the answer. */
    readonly view: EndpointView;
    /**
     * All engines that hold memory for the attempt, `view` included, with the number of prompt tokens for each to
     * prefill.
     */
    readonly members: ReadonlyMap<EndpointId, number>;
    readonly body: GenerateRequest;
    /** Expected time from sending the request to the first token, in milliseconds. */
    readonly expectedFirstTokenMs: number;
}

/**
 * Runs the attempt and records in the endpoint views what it shows about the engines. Resolves with the outcome of the
 * attempt. Rejects only with the error that ends the whole request. An attempt that is neither finished nor refused is
 * cancelled on its engine.
 */
export async function runPromptAttempt(
    context: HostContext,
    job: PromptJob,
    placement: AttemptPlacement,
): Promise<AttemptOutcome> {
    const { attemptId, view } = placement;
    const connections = context.clients.get(context.endpointStates.getUrl(view.endpoint));
    const controller = new AbortController();
    const abort = (): void => controller.abort(job.scope.signal.reason);
    const mayHaveRunBefore = job.mayHaveRun;
    job.scope.signal.addEventListener("abort", abort, { once: true });
    context.attempts.set(attemptId, createRunningAttempt(job, placement, controller));
    recordPlacement(context, job, placement);
    let outcome: AttemptOutcome | undefined;
    try {
        const result = await runAttempt({
            connections,
            body: placement.body,
            attemptId,
            acceptTimeoutMs: context.settings.progress.accept_ms,
            progressLimits: computeProgressLimits(context.settings.progress, placement.expectedFirstTokenMs),
            controller,
            stream: job.stream,
            remainingMs: getRemainingMs(job.scope),
            admit: () => admitAttempt(context, job, placement),
            deliver: createTokenHandler(context, job, placement),
        });
        job.stream = result.stream;
        outcome = result.outcome;
        recordOutcome(context, placement, outcome);
        return outcome;
    }
    finally {
        job.scope.signal.removeEventListener("abort", abort);
        context.attempts.delete(attemptId);
        placement.members.forEach((_tokens, member) =>
            context.endpointStates.update(member, current => recordAttemptEnd(current, attemptId))
        );
        if (outcome?.kind === "refused") {
            job.mayHaveRun = mayHaveRunBefore;
        }
        else if (outcome?.kind !== "finished") {
            void cancelAttempt(connections, attemptId).then(acknowledged =>
                recordCancellation(context, placement, outcome, acknowledged)
            );
        }
    }
}

function createRunningAttempt(
    job: PromptJob,
    placement: AttemptPlacement,
    controller: AbortController,
): RunningAttempt {
    const startedAtMs = performance.now();
    const estimateRemainingPrefillMs = (): number =>
        job.deliveredTokens > placement.body.resume_from
            ? 0
            : Math.max(0, placement.expectedFirstTokenMs - (performance.now() - startedAtMs));
    return {
        attemptId: placement.attemptId,
        requestId: job.scope.requestId,
        workspace: job.scope.workspace.name,
        endpoint: placement.view.endpoint,
        members: [...placement.members.keys()],
        model: job.request.model,
        allowedEndpoints: job.allowedEndpoints,
        estimateRemainingMs: () =>
            estimateRemainingPrefillMs()
            + estimateDecodeMs(placement.view, job.request.maxTokens - job.deliveredTokens),
        interrupt: (reason, kvCacheEndpoint) => {
            job.kvCacheEndpoint = kvCacheEndpoint;
            controller.abort(new Interrupt(reason));
        },
    };
}

/** Adds the attempt's work to the views of its members, so that routing counts it before the next load report. */
function recordPlacement(context: HostContext, job: PromptJob, placement: AttemptPlacement): void {
    const sentAtMs = performance.now();
    placement.members.forEach((tokens, member) => {
        const assignment = {
            attempt: placement.attemptId,
            sentAtMs,
            lengthClass: job.request.lengthClass,
            prefillTokens: tokens,
            memoryTokens: tokens + job.request.maxTokens,
        };
        context.endpointStates.update(member, view => recordAttemptStart(view, assignment));
    });
}

/** Checks the members again immediately before the first byte: a reclaim or a stop may have arrived since routing. */
function admitAttempt(context: HostContext, job: PromptJob, placement: AttemptPlacement): boolean {
    const isUsable = [...placement.members.keys()].every(member => context.lending.isUsable(member));
    job.mayHaveRun ||= isUsable;
    return isUsable;
}

/**
 * Creates the function that forwards tokens to the caller. The first one shows that prefill is done and the engine
 * works.
 */
function createTokenHandler(
    context: HostContext,
    job: PromptJob,
    placement: AttemptPlacement,
): (text: string) => void | Promise<void> {
    let isFirst = true;
    return text => {
        if (isFirst) {
            isFirst = false;
            placement.members.forEach((_tokens, member) =>
                context.endpointStates.update(member, view => clearSuspect(recordFirstToken(view, placement.attemptId)))
            );
            context.endpointStates.recordPrefixes(placement.view.endpoint, job.request.prefixHashes);
        }
        if (job.deliveredTokens === 0) {
            recordFirstTokenTime(context, job, placement.view);
        }
        job.deliveredTokens += 1;
        return job.writer.write(text);
    };
}

/** Marks an engine that failed or refused the attempt as suspect. */
function recordOutcome(context: HostContext, { view, body }: AttemptPlacement, outcome: AttemptOutcome): void {
    const markSuspectFor = (ms: number): void =>
        context.endpointStates.update(view.endpoint, current => markSuspect(current, performance.now() + ms));
    if (outcome.kind === "broken") {
        markSuspectFor(SUSPECT_DURATION_MS[getFailureKind(outcome)]);
        context.log.warn(
            { requestId: body.request_id, endpoint: view.endpoint, outcome },
            "endpoints: attempt ended without a complete answer",
        );
    }
    if (outcome.kind === "refused") {
        markSuspectFor(SUSPECT_DURATION_MS.refused);
        context.log.warn(
            { requestId: body.request_id, endpoint: view.endpoint, outcome },
            "endpoints: engine refused the attempt",
        );
    }
}

/**
 * Classifies a failure for `SUSPECT_DURATION_MS`. An engine that does not accept the prompt in time is usually behind a
 * network partition, which lasts longer than the loss of a single connection.
 */
function getFailureKind({ silent, accepted }: BrokenAttempt): "broken" | "silent" | "unaccepted" {
    if (!silent) {
        return "broken";
    }
    return accepted ? "silent" : "unaccepted";
}

/**
 * Clears the suspect mark of an unresponsive engine if it acknowledges the cancellation on a new connection: the engine
 * is reachable, and only the old connection was unresponsive.
 */
function recordCancellation(
    context: HostContext,
    { view }: AttemptPlacement,
    outcome: AttemptOutcome | undefined,
    hasAcknowledged: boolean,
): void {
    if (hasAcknowledged && outcome?.kind === "broken" && outcome.silent) {
        context.endpointStates.update(view.endpoint, clearSuspect);
    }
}
