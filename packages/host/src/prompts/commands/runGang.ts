/**
 * Runs a prompt that does not fit the memory of one engine on a gang: several engines that allocate memory for it, all
 * or none. Drives the gang state machine of the core.
 */
import {
    advanceGang,
    createGangAttempt,
    type EndpointView,
    type GangAction,
    type GangAttempt,
    type GangEvent,
    type GangMember,
    generateFractions,
} from "@currantrill/core";
import type { AllocationId, AttemptId, EndpointId } from "@currantrill/protocol";
import { CallerError } from "../../callers/model/callerError.js";
import { waitForAbort } from "../../callers/model/requestScope.js";
import type { AttemptOutcome } from "../../endpoints/commands/runAttempt.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { buildGenerateRequest } from "../queries/buildGenerateRequest.js";
import { isRefusedByEvacuation } from "../queries/isRefusedByEvacuation.js";
import { planPromptGang } from "./planPromptGang.js";
import { runPromptAttempt } from "./runPromptAttempt.js";

const MS_PER_SECOND = 1_000;

interface GangRun {
    readonly context: HostContext;
    readonly job: PromptJob;
    attempt: GangAttempt;
    /** New for each placement attempt, so that a late grant from an earlier one is not mistaken for a current one. */
    attemptId: AttemptId;
    /** Allocations granted for `attemptId`. */
    allocations: Map<EndpointId, AllocationId>;
    /** Results of actions that the state machine has not yet processed. */
    readonly pendingEvents: GangEvent[];
    outcome: AttemptOutcome | undefined;
}

/**
 * Resolves with the outcome of the first attempt for which all members allocated memory. Rejects with the error of the
 * request. Releases all memory in either case.
 */
export async function runGang(context: HostContext, job: PromptJob): Promise<AttemptOutcome> {
    const now = performance.now();
    const run: GangRun = {
        context,
        job,
        attempt: createGangAttempt(job.scope.requestId, now, job.scope.deadlineMs - job.idleServiceMs),
        attemptId: createAttemptId(),
        allocations: new Map(),
        pendingEvents: [planMembers(context, job)],
        outcome: undefined,
    };
    try {
        while (run.outcome === undefined) {
            await advanceRun(run);
        }
        return run.outcome;
    }
    finally {
        context.allocations.release(run.attemptId);
        context.prompts.pendingGangs.delete(job.scope.requestId);
    }
}

function planMembers(context: HostContext, job: PromptJob): GangEvent {
    const plan = planPromptGang(context, job);
    if (plan.kind !== "members" && isRefusedByEvacuation(context, job)) {
        throw new CallerError("no_endpoint");
    }
    return { kind: "planned", members: plan.kind === "members" ? plan.members : undefined };
}

/** Feeds one event to the state machine, or a new plan if there is none, and carries out its actions in order. */
async function advanceRun(run: GangRun): Promise<void> {
    const { context, job } = run;
    job.scope.signal.throwIfAborted();
    const event = run.pendingEvents.shift() ?? planMembers(context, job);
    const { values, next } = generateFractions(context.prompts.random, 1);
    context.prompts.random = next;
    const step = advanceGang(run.attempt, event, performance.now(), values[0] ?? 0);
    run.attempt = step.attempt;
    context.prompts.pendingGangs.set(job.scope.requestId, run.attempt.members.map(member => member.endpoint));
    for (const action of step.actions) {
        await actionHandlers[action.kind](run, action as never);
    }
}

type ActionOfKind<K extends GangAction["kind"]> = Extract<GangAction, { kind: K; }>;
type ActionHandlers = {
    readonly [K in GangAction["kind"]]: (run: GangRun, action: ActionOfKind<K>) => void | Promise<void>;
};

const actionHandlers: ActionHandlers = {
    allocate: async (run, { member }) => {
        // A reclaim or an evacuation may have arrived since the plan.
        if (!run.context.lending.isUsable(member.endpoint)) {
            run.pendingEvents.push({ kind: "refused", endpoint: member.endpoint });
            return;
        }
        const allocationId = await run.context.allocations.request({
            attempt: run.attemptId,
            requestId: run.job.scope.requestId,
            ...member,
        });
        if (allocationId !== undefined) {
            run.allocations.set(member.endpoint, allocationId);
        }
        run.pendingEvents.push({
            kind: allocationId === undefined ? "refused" : "allocated",
            endpoint: member.endpoint,
        });
    },
    release: run => {
        run.context.allocations.release(run.attemptId);
        run.attemptId = createAttemptId();
        run.allocations = new Map();
    },
    planAgain: async (run, { atMs }) => {
        await waitUntilTime(atMs, run.job.scope.signal);
    },
    startPrefill: async (run, { members }) => {
        run.context.prompts.pendingGangs.delete(run.job.scope.requestId);
        run.outcome = await runOnMembers(run, members);
    },
    fail: () => {
        throw new CallerError("overloaded");
    },
};

/** Starts the attempt on the first member, which streams the answer, and sends it the list of the other members. */
function runOnMembers(run: GangRun, members: readonly GangMember[]): Promise<AttemptOutcome> {
    const { context, job, attemptId, allocations } = run;
    const views = context.endpointStates.getViews();
    const [leadMember, ...otherMembers] = members;
    const view = leadMember === undefined ? undefined : views.get(leadMember.endpoint);
    const leadAllocation = leadMember === undefined ? undefined : allocations.get(leadMember.endpoint);
    if (view === undefined || leadAllocation === undefined) {
        throw new CallerError("no_endpoint");
    }
    context.log.info(
        { requestId: job.scope.requestId, attemptId, members, tries: run.attempt.planCount },
        "routing: gang allocated",
    );
    return runPromptAttempt(context, job, {
        attemptId,
        view,
        members: new Map(members.map(member => [member.endpoint, member.tokens])),
        body: {
            ...buildGenerateRequest(job, 0),
            attempt_id: attemptId,
            allocation_id: leadAllocation,
            members: otherMembers.map(member => ({
                url: context.endpointStates.getUrl(member.endpoint),
                allocation_id: allocations.get(member.endpoint) ?? "",
            })),
        },
        expectedFirstTokenMs: estimatePrefillMs(views, members),
    });
}

/** Estimates the prefill time in milliseconds, which the slowest prefill shard determines. */
const estimatePrefillMs = (
    views: ReadonlyMap<EndpointId, EndpointView>,
    members: readonly GangMember[],
): number =>
    Math.max(
        ...members.map(({ endpoint, tokens }) =>
            tokens / (views.get(endpoint)?.prefillTokensPerSecond ?? Infinity) * MS_PER_SECOND
        ),
    );

/** Resolves at a time on the monotonic clock. Rejects with the abort reason if the signal is aborted first. */
async function waitUntilTime(atMs: number, signal: AbortSignal): Promise<void> {
    const { ended, release } = waitForAbort(signal);
    const delay = new Promise<void>(resolve => setTimeout(resolve, Math.max(0, atMs - performance.now())));
    await Promise.race([delay, ended]).finally(release);
}
