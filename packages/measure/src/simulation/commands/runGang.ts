/**
 * Runs a gang: several engines that each hold and prefill a shard of a prompt that is too large for one of them. The
 * state machine of the core makes the decisions.
 */
import {
    advanceGang,
    createGangAttempt,
    type GangAction,
    type GangAttempt,
    type GangEvent,
    type GangMember,
    generateFractions,
    planGang,
} from "@currantrill/core";
import type { RequestRecord } from "../model/arrival.js";
import { buildRoutingInput, type HostState } from "../model/hostState.js";
import { cancelAttempt, recordAnswer, recordFirstTokenAtCaller, startAttempt } from "./startAttempt.js";

export interface GangOptions {
    /** Priority of the prompt on the engines; higher is first. */
    readonly priority: number;
    /** Expected time from the start of the prefill to the complete answer. */
    readonly expectedServiceMs: number;
    /** Called when the gang has answered or failed, so that memory may have become free. Not called after an abort. */
    readonly onEnd: () => void;
}

interface GangRun {
    readonly host: HostState;
    readonly record: RequestRecord;
    readonly options: GangOptions;
    attempt: GangAttempt;
    /** Ids of the attempts on the engines of the current plan. */
    attemptIds: string[];
    hasStartedPrefill: boolean;
}

/** Additional prefill work for each member after the first, as a fraction, for the exchange between engines. */
const MEMBER_OVERHEAD_FRACTION = 0.03;
/** Time after which an allocation on an unreachable engine counts as refused. */
const ALLOCATION_TIMEOUT_MS = 200;

/** Plans and starts the gang of a request. Returns a function that aborts it at the deadline. */
export function runGang(host: HostState, record: RequestRecord, options: GangOptions): () => void {
    const { arrival } = record;
    const now = host.fleet.events.now;
    const lastStartMs = arrival.deadlineMs - options.expectedServiceMs;
    const run: GangRun = {
        host,
        record,
        options,
        attempt: createGangAttempt(arrival.request, now, lastStartMs),
        attemptIds: [],
        hasStartedPrefill: false,
    };
    planMembers(run);
    return () => abortGang(run);
}

/** Chooses the members, unless the request has ended or the gang is no longer waiting for a plan. */
function planMembers(run: GangRun): void {
    const { host, record } = run;
    if (record.outcome !== "pending" || run.attempt.phase !== "waiting") {
        return;
    }
    const input = buildRoutingInput(host, record.arrival, new Map());
    const { plan, random } = planGang(host.fleet.scenario.policy, input);
    host.random = random;
    advanceRun(run, { kind: "planned", members: plan.kind === "members" ? plan.members : undefined });
}

/** Applies an event to the state machine, runs its actions and updates the endpoints that are withheld for the gang. */
function advanceRun(run: GangRun, event: GangEvent): void {
    const { host } = run;
    const { values, next } = generateFractions(host.random, 1);
    host.random = next;
    const step = advanceGang(run.attempt, event, host.fleet.events.now, values[0] ?? 0);
    run.attempt = step.attempt;
    step.actions.forEach(action => handleAction(run, action));
    const isPending = run.attempt.phase === "waiting" || run.attempt.phase === "allocating";
    if (isPending) {
        host.withheld.set(run.attempt.request, run.attempt.members.map(member => member.endpoint));
    }
    else {
        host.withheld.delete(run.attempt.request);
    }
}

function handleAction(run: GangRun, action: GangAction): void {
    const { host, record } = run;
    switch (action.kind) {
        case "allocate":
            return requestAllocation(run, action.member);
        case "release":
            cancelAttempts(run);
            action.members.forEach(member => host.fleet.engines.get(member.endpoint)?.release(record.arrival.request));
            return;
        case "startPrefill":
            return startPrefill(run, action.members);
        case "planAgain":
            host.fleet.events.schedule(action.atMs - host.fleet.events.now, () => planMembers(run));
            return;
        case "fail":
            if (record.outcome === "pending") {
                record.outcome = run.hasStartedPrefill ? "unanswered" : "refused";
            }
            run.options.onEnd();
            return;
    }
}

function requestAllocation(run: GangRun, member: GangMember): void {
    const { host, record: { arrival } } = run;
    const { events, network, engines } = host.fleet;
    const engine = engines.get(member.endpoint);
    if (engine === undefined || !network.canReach(host.failureDomain, engine.failureDomain)) {
        events.schedule(ALLOCATION_TIMEOUT_MS, () => advanceRun(run, { kind: "refused", endpoint: member.endpoint }));
        return;
    }
    const delayMs = network.getDelayMs(host.failureDomain, engine.failureDomain);
    events.schedule(delayMs, () => {
        const isGranted = run.attempt.phase === "allocating" && engine.reserve(arrival.request, member.tokens);
        const kind = isGranted ? "allocated" : "refused";
        events.schedule(delayMs, () => advanceRun(run, { kind, endpoint: member.endpoint }));
    });
}

/** Starts the prefill of one shard on each member, in proportion to its allocated memory. */
function startPrefill(run: GangRun, members: readonly GangMember[]): void {
    const { host, record } = run;
    const totalTokens = members.reduce((sum, member) => sum + member.tokens, 0);
    const overheadFactor = 1 + MEMBER_OVERHEAD_FRACTION * (members.length - 1);
    let pendingShards = members.length;
    run.hasStartedPrefill = true;
    run.attemptIds = members.map(member =>
        startAttempt(host, {
            record,
            endpoint: member.endpoint,
            priority: run.options.priority,
            promptTokens: Math.ceil(record.arrival.promptTokens * member.tokens / totalTokens * overheadFactor),
            cachedTokens: 0,
            outputTokens: 1,
            memoryTokens: member.tokens,
            isAllocated: true,
            onFirstToken: () => {
                pendingShards -= 1;
                if (pendingShards === 0) {
                    startDecode(run, members);
                }
            },
            onEnd: () => undefined,
            onFail: () => advanceRun(run, { kind: "memberFailed", endpoint: member.endpoint }),
        })
    );
}

/** Starts to decode on the first member, once all members have prefilled their shards. */
function startDecode(run: GangRun, members: readonly GangMember[]): void {
    const { host, record } = run;
    const [primary] = members;
    if (primary === undefined) {
        return;
    }
    const attemptId = startAttempt(host, {
        record,
        endpoint: primary.endpoint,
        priority: run.options.priority,
        promptTokens: 1,
        cachedTokens: 0,
        outputTokens: record.arrival.outputTokens,
        memoryTokens: 0,
        isAllocated: true,
        onFirstToken: () => recordFirstTokenAtCaller(host, record),
        onEnd: () => {
            recordAnswer(host, record);
            advanceRun(run, { kind: "answered" });
            run.options.onEnd();
        },
        onFail: () => advanceRun(run, { kind: "memberFailed", endpoint: primary.endpoint }),
    });
    run.attemptIds = [...run.attemptIds, attemptId];
}

function cancelAttempts(run: GangRun): void {
    const attemptIds = run.attemptIds;
    run.attemptIds = [];
    attemptIds.forEach(attemptId => cancelAttempt(run.host, attemptId));
}

/** Aborts the gang: cancels its attempts and releases its allocations. */
function abortGang(run: GangRun): void {
    const { host, attempt } = run;
    cancelAttempts(run);
    attempt.members.forEach(member => host.fleet.engines.get(member.endpoint)?.release(attempt.request));
    run.attempt = { ...attempt, phase: "failed" };
    host.withheld.delete(attempt.request);
}
