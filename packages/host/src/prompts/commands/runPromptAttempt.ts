/** One attempt of a prompt, with its bookkeeping. */
import {
    clearSuspect,
    type EndpointView,
    markSuspect,
    recordEnd,
    recordFirstToken,
    recordSend,
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

/** Time for which other endpoints are preferred after a failure. A refusal is usually a full engine. */
const SUSPECT_MS = { broken: 3_000, silent: 1_000, refused: 250, unaccepted: 10_000 } as const;

/** Where an attempt runs, and with what. */
export interface AttemptPlacement {
    readonly attemptId: AttemptId;
    /** The engine that streams the answer. */
    readonly view: EndpointView;
    /** All engines that hold memory for the attempt, with the tokens that each has to process. */
    readonly members: ReadonlyMap<EndpointId, number>;
    readonly body: GenerateRequest;
    readonly expectedFirstTokenMs: number;
}

/** Runs the attempt and records what it shows about the engines. Rejects with the error of the whole request. */
export async function runPromptAttempt(
    context: HostContext,
    job: PromptJob,
    placement: AttemptPlacement,
): Promise<AttemptOutcome> {
    const { attemptId, view } = placement;
    const connections = context.clients.get(context.beliefs.getUrl(view.endpoint));
    const controller = new AbortController();
    const abort = (): void => controller.abort(job.scope.signal.reason);
    const sentBefore = job.sent;
    job.scope.signal.addEventListener("abort", abort, { once: true });
    context.attempts.set(attemptId, createRunningAttempt(job, placement, controller));
    recordPlacement(context, job, placement);
    let outcome: AttemptOutcome | undefined;
    try {
        const result = await runAttempt({
            connections,
            body: placement.body,
            attemptId,
            acceptMs: context.settings.progress.accept_ms,
            limits: computeProgressLimits(context.settings.progress, placement.expectedFirstTokenMs),
            controller,
            stream: job.stream,
            remainingMs: getRemainingMs(job.scope),
            admit: () => admitSend(context, job, placement),
            deliver: createDelivery(context, job, placement),
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
            context.beliefs.update(member, current => recordEnd(current, attemptId))
        );
        if (outcome?.kind === "refused") {
            job.sent = sentBefore;
        }
        else if (outcome?.kind !== "finished") {
            void cancelAttempt(connections, attemptId).then(reached =>
                recordCancel(context, placement, outcome, reached)
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
    const estimatePrefillMs = (): number =>
        job.delivered > placement.body.resume_from
            ? 0
            : Math.max(0, placement.expectedFirstTokenMs - (performance.now() - startedAtMs));
    return {
        attemptId: placement.attemptId,
        requestId: job.scope.requestId,
        workspace: job.scope.workspace.name,
        endpoint: placement.view.endpoint,
        members: [...placement.members.keys()],
        model: job.request.model,
        allowed: job.allowed,
        estimateRemainingMs: () =>
            estimatePrefillMs() + estimateDecodeMs(placement.view, job.request.maxTokens - job.delivered),
        interrupt: (reason, continueOn) => {
            job.continueOn = continueOn;
            controller.abort(new Interrupt(reason));
        },
    };
}

function recordPlacement(context: HostContext, job: PromptJob, placement: AttemptPlacement): void {
    const sentAtMs = performance.now();
    placement.members.forEach((tokens, member) => {
        const work = {
            attempt: placement.attemptId,
            sentAtMs,
            lengthClass: job.request.lengthClass,
            prefillTokens: tokens,
            memoryTokens: tokens + job.request.maxTokens,
        };
        context.beliefs.update(member, view => recordSend(view, work));
    });
}

/** Last check before the first byte: a reclaim or a stop may have arrived since the decision. */
function admitSend(context: HostContext, job: PromptJob, placement: AttemptPlacement): boolean {
    const isUsable = [...placement.members.keys()].every(member => context.lending.isUsable(member));
    job.sent ||= isUsable;
    return isUsable;
}

/** Passes tokens on to the caller. The first one shows that the prefill has ended and that the engine works. */
function createDelivery(
    context: HostContext,
    job: PromptJob,
    placement: AttemptPlacement,
): (text: string) => void | Promise<void> {
    let isFirst = true;
    return text => {
        if (isFirst) {
            isFirst = false;
            placement.members.forEach((_tokens, member) =>
                context.beliefs.update(member, view => clearSuspect(recordFirstToken(view, placement.attemptId)))
            );
            context.beliefs.recordPrefixes(placement.view.endpoint, job.request.prefixHashes);
        }
        if (job.delivered === 0) {
            recordFirstTokenTime(context, job, placement.view);
        }
        job.delivered += 1;
        return job.writer.write(text);
    };
}

function recordOutcome(context: HostContext, { view, body }: AttemptPlacement, outcome: AttemptOutcome): void {
    const suspect = (ms: number): void =>
        context.beliefs.update(view.endpoint, current => markSuspect(current, performance.now() + ms));
    if (outcome.kind === "broken") {
        suspect(SUSPECT_MS[getBreakKind(outcome)]);
        context.log.warn({ requestId: body.request_id, endpoint: view.endpoint, outcome }, "endpoints: attempt broken");
    }
    if (outcome.kind === "refused") {
        suspect(SUSPECT_MS.refused);
        context.log.warn(
            { requestId: body.request_id, endpoint: view.endpoint, outcome },
            "endpoints: attempt refused",
        );
    }
}

/** An engine that does not even accept is usually behind a partition, which lasts longer than one lost connection. */
function getBreakKind({ silent, accepted }: BrokenAttempt): "broken" | "silent" | "unaccepted" {
    if (!silent) {
        return "broken";
    }
    return accepted ? "silent" : "unaccepted";
}

/** An engine that answers the cancel on a new connection can be reached: only the old connection was silent. */
function recordCancel(
    context: HostContext,
    { view }: AttemptPlacement,
    outcome: AttemptOutcome | undefined,
    reached: boolean,
): void {
    if (reached && outcome?.kind === "broken" && outcome.silent) {
        context.beliefs.update(view.endpoint, clearSuspect);
    }
}
