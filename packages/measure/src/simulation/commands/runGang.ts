/** Runs the placement of a prompt on several engines, driven by the core's state machine. */
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
    readonly priority: number;
    /** Expected time from the start of the prefill to the complete answer. */
    readonly expectedServiceMs: number;
    /** Called when memory may have become free. */
    readonly onEnd: () => void;
}

interface GangRun {
    readonly host: HostState;
    readonly record: RequestRecord;
    readonly options: GangOptions;
    attempt: GangAttempt;
    /** Attempts on engines of the present try. */
    jobs: string[];
    wasStarted: boolean;
}

/** Prefill work that each further member adds, for the exchange between engines. */
const GANG_OVERHEAD = 0.03;
const ALLOCATION_TIMEOUT_MS = 200;

/** Starts the placement. Returns a function that ends it at the deadline. */
export function runGang(host: HostState, record: RequestRecord, options: GangOptions): () => void {
    const { arrival } = record;
    const now = host.fleet.events.now;
    const lastStartMs = arrival.deadlineMs - options.expectedServiceMs;
    const run: GangRun = {
        host,
        record,
        options,
        attempt: createGangAttempt(arrival.request, now, lastStartMs),
        jobs: [],
        wasStarted: false,
    };
    planAgain(run);
    return () => endGang(run);
}

function planAgain(run: GangRun): void {
    const { host, record } = run;
    if (record.outcome !== "pending" || run.attempt.phase !== "waiting") {
        return;
    }
    const input = buildRoutingInput(host, record.arrival, new Map());
    const { plan, random } = planGang(host.fleet.scenario.policy, input);
    host.random = random;
    advanceRun(run, { kind: "planned", members: plan.kind === "members" ? plan.members : undefined });
}

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
            cancelJobs(run);
            action.members.forEach(member => host.fleet.engines.get(member.endpoint)?.release(record.arrival.request));
            return;
        case "startPrefill":
            return startPrefill(run, action.members);
        case "planAgain":
            host.fleet.events.schedule(action.atMs - host.fleet.events.now, () => planAgain(run));
            return;
        case "fail":
            if (record.outcome === "pending") {
                record.outcome = run.wasStarted ? "unanswered" : "refused";
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

function startPrefill(run: GangRun, members: readonly GangMember[]): void {
    const { host, record } = run;
    const held = members.reduce((sum, member) => sum + member.tokens, 0);
    const overhead = 1 + GANG_OVERHEAD * (members.length - 1);
    let unfinished = members.length;
    run.wasStarted = true;
    run.jobs = members.map(member =>
        startAttempt(host, {
            record,
            endpoint: member.endpoint,
            priority: run.options.priority,
            promptTokens: Math.ceil(record.arrival.promptTokens * member.tokens / held * overhead),
            cachedTokens: 0,
            outputTokens: 1,
            memoryTokens: member.tokens,
            isAllocated: true,
            onFirstToken: () => {
                unfinished -= 1;
                if (unfinished === 0) {
                    startDecode(run, members);
                }
            },
            onEnd: () => undefined,
            onFail: () => advanceRun(run, { kind: "memberFailed", endpoint: member.endpoint }),
        })
    );
}

/** Decodes on the first member once all members hold their part of the prompt. */
function startDecode(run: GangRun, members: readonly GangMember[]): void {
    const { host, record } = run;
    const [home] = members;
    if (home === undefined) {
        return;
    }
    const job = startAttempt(host, {
        record,
        endpoint: home.endpoint,
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
        onFail: () => advanceRun(run, { kind: "memberFailed", endpoint: home.endpoint }),
    });
    run.jobs = [...run.jobs, job];
}

function cancelJobs(run: GangRun): void {
    const jobs = run.jobs;
    run.jobs = [];
    jobs.forEach(job => cancelAttempt(run.host, job));
}

/** Ends the placement at the deadline: everything that it holds is released. */
function endGang(run: GangRun): void {
    const { host, attempt } = run;
    cancelJobs(run);
    attempt.members.forEach(member => host.fleet.engines.get(member.endpoint)?.release(attempt.request));
    run.attempt = { ...attempt, phase: "failed" };
    host.withheld.delete(attempt.request);
}
