/** Places a prompt that is larger than one engine on several, all or nothing, and runs it. */
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
import { waitForScopeEnd } from "../../callers/model/requestScope.js";
import type { AttemptOutcome } from "../../endpoints/commands/runAttempt.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { buildGenerateRequest } from "../queries/buildGenerateRequest.js";
import { planPromptGang } from "./planPromptGang.js";
import { runPromptAttempt } from "./runPromptAttempt.js";

const MS_PER_SECOND = 1_000;

interface GangRun {
    readonly context: HostContext;
    readonly job: PromptJob;
    attempt: GangAttempt;
    /** A new one for each try, so that a late grant of an earlier try is told apart. */
    attemptId: AttemptId;
    allocations: Map<EndpointId, AllocationId>;
    /** Events that the actions have led to and the core has not seen. */
    readonly events: GangEvent[];
    outcome: AttemptOutcome | undefined;
}

/** Resolves with the outcome of the first attempt that held all its memory. Rejects with the error of the request. */
export async function runGang(context: HostContext, job: PromptJob): Promise<AttemptOutcome> {
    const now = performance.now();
    const run: GangRun = {
        context,
        job,
        attempt: createGangAttempt(job.scope.requestId, now, job.scope.deadlineMs - job.serviceMs),
        attemptId: createAttemptId(),
        allocations: new Map(),
        events: [planMembers(context, job)],
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
        context.prompts.withheld.delete(job.scope.requestId);
    }
}

function planMembers(context: HostContext, job: PromptJob): GangEvent {
    const plan = planPromptGang(context, job);
    return { kind: "planned", members: plan.kind === "members" ? plan.members : undefined };
}

async function advanceRun(run: GangRun): Promise<void> {
    const { context, job } = run;
    job.scope.signal.throwIfAborted();
    const event = run.events.shift() ?? planMembers(context, job);
    const { values, next } = generateFractions(context.prompts.random, 1);
    context.prompts.random = next;
    const step = advanceGang(run.attempt, event, performance.now(), values[0] ?? 0);
    run.attempt = step.attempt;
    context.prompts.withheld.set(job.scope.requestId, run.attempt.members.map(member => member.endpoint));
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
        const id = await run.context.allocations.request({
            attempt: run.attemptId,
            requestId: run.job.scope.requestId,
            ...member,
        });
        if (id !== undefined) {
            run.allocations.set(member.endpoint, id);
        }
        run.events.push({ kind: id === undefined ? "refused" : "allocated", endpoint: member.endpoint });
    },
    release: run => {
        run.context.allocations.release(run.attemptId);
        run.attemptId = createAttemptId();
        run.allocations = new Map();
    },
    planAgain: async (run, { atMs }) => {
        await waitUntil(atMs, run.job.scope.signal);
    },
    startPrefill: async (run, { members }) => {
        run.context.prompts.withheld.delete(run.job.scope.requestId);
        run.outcome = await runMembers(run, members);
    },
    fail: () => {
        throw new CallerError("overloaded");
    },
};

function runMembers(run: GangRun, members: readonly GangMember[]): Promise<AttemptOutcome> {
    const { context, job, attemptId, allocations } = run;
    const views = context.beliefs.getAll();
    const [lead, ...others] = members;
    const view = lead === undefined ? undefined : views.get(lead.endpoint);
    const allocation = lead === undefined ? undefined : allocations.get(lead.endpoint);
    if (view === undefined || allocation === undefined) {
        throw new CallerError("no_endpoint");
    }
    context.log.info(
        { requestId: job.scope.requestId, attemptId, members, tries: run.attempt.tries },
        "routing: gang placed",
    );
    return runPromptAttempt(context, job, {
        attemptId,
        view,
        members: new Map(members.map(member => [member.endpoint, member.tokens])),
        body: {
            ...buildGenerateRequest(job, 0),
            attempt_id: attemptId,
            allocation_id: allocation,
            members: others.map(member => ({
                url: context.beliefs.getUrl(member.endpoint),
                allocation_id: allocations.get(member.endpoint) ?? "",
            })),
        },
        expectedFirstTokenMs: estimatePrefillMs(views, members),
    });
}

/** The member with the longest part decides. */
const estimatePrefillMs = (
    views: ReadonlyMap<EndpointId, EndpointView>,
    members: readonly GangMember[],
): number =>
    Math.max(
        ...members.map(({ endpoint, tokens }) =>
            tokens / (views.get(endpoint)?.prefillTokensPerSecond ?? Infinity) * MS_PER_SECOND
        ),
    );

async function waitUntil(atMs: number, signal: AbortSignal): Promise<void> {
    const { ended, release } = waitForScopeEnd(signal);
    const delay = new Promise<void>(resolve => setTimeout(resolve, Math.max(0, atMs - performance.now())));
    await Promise.race([delay, ended]).finally(release);
}
