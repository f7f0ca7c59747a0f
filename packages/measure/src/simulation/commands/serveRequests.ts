/** A simulated host: admits, queues, routes and retries requests with the decisions of the core. */
import {
    decideAdmission,
    estimateQueueDelay,
    findPrefixHits,
    isLongClass,
    planGang,
    pushRequest,
    type QueuedRequest,
    recordDemand,
    type RoutingDecision,
    type RoutingInput,
    type RoutingOutcome,
    routingPolicies,
    spendRetry,
    takeExpired,
    takeRequest,
} from "@currantrill/core";
import { ENGINE, TIMEOUT_MS } from "../../model/scenario.js";
import type { RequestRecord } from "../model/arrival.js";
import { buildRoutingInput, type HostState } from "../model/hostState.js";
import { CLIENT_DELAY_MS } from "../model/network.js";
import { runGang } from "./runGang.js";
import { cancelAttempt, recordAnswer, recordFirstTokenAtCaller, startAttempt } from "./startAttempt.js";

/** Time between tokens that admission assumes. */
const TOKEN_INTERVAL_MS = 58;
const DECODE_TOKENS_PER_SECOND = 1_000 / TOKEN_INTERVAL_MS;
const RETRY_QUEUE_MS = 100;

type SendOutcome = Extract<RoutingOutcome, { kind: "send"; }>;

/** A request arrives at the host. */
export function acceptRequest(host: HostState, record: RequestRecord): void {
    const { arrival } = record;
    const now = host.fleet.events.now;
    host.records.set(arrival.request, record);
    host.meter = recordDemand(host.meter, arrival.lengthClass, arrival.promptTokens, now);
    const expectedFirstTokenMs = estimateFirstTokenHere(host, record);
    const admission = expectedFirstTokenMs === undefined ? undefined : decideAdmission({
        deadlineMs: arrival.deadlineMs,
        expectedFirstTokenMs,
        maxTokens: arrival.outputTokens,
        decodeTokensPerSecond: DECODE_TOKENS_PER_SECOND,
    }, now);
    if (admission?.kind !== "admit") {
        record.outcome = "refused";
        return;
    }
    host.fleet.events.schedule(arrival.deadlineMs - now - CLIENT_DELAY_MS, () => endAtDeadline(host, record));
    pushRecord(host, record);
    dispatchWaiting(host);
}

/** Sends waiting requests as long as the policy finds endpoints for them. */
export function dispatchWaiting(host: HostState): void {
    refuseExpired(host);
    const blocked = new Set<string>();
    for (;;) {
        let decision: RoutingDecision | undefined;
        const taken = takeRequest(host.queue, host.fleet.events.now, entry => {
            const record = host.records.get(entry.request);
            if (record === undefined || blocked.has(entry.lengthClass)) {
                return false;
            }
            decision = routeRequest(host, record);
            const canStart = decision.outcome.kind === "send" || decision.outcome.kind === "gang";
            if (!canStart) {
                blocked.add(entry.lengthClass);
            }
            return canStart;
        });
        host.queue = taken.queue;
        const record = taken.entry && host.records.get(taken.entry.request);
        if (record === undefined || decision === undefined) {
            break;
        }
        startRequest(host, record, decision.outcome);
    }
    if (host.queue.waiting.length > 0) {
        scheduleDispatch(host);
    }
}

/** Fails the attempts on endpoints of a domain that cannot be reached any more. */
export function failUnreachable(host: HostState): void {
    for (const attempt of [...host.running.values()]) {
        const engine = host.fleet.engines.get(attempt.endpoint);
        if (engine !== undefined && !host.fleet.network.canReach(host.failureDomain, engine.failureDomain)) {
            attempt.fail();
        }
    }
}

function buildInput(host: HostState, record: RequestRecord): RoutingInput {
    const { arrival } = record;
    const hashes = arrival.prefixTokens > 0 ? [arrival.prefixHash] : [];
    return buildRoutingInput(host, arrival, findPrefixHits(host.prefixes, hashes, host.fleet.events.now));
}

function routeRequest(host: HostState, record: RequestRecord): RoutingDecision {
    const decision = routingPolicies[host.fleet.scenario.policy](buildInput(host, record));
    host.random = decision.random;
    return decision;
}

/** Expected first token with the host's queue ahead; undefined if no endpoint can serve the request. */
function estimateFirstTokenHere(host: HostState, record: RequestRecord): number | undefined {
    const { lengthClass } = record.arrival;
    const outcome = routeRequest(host, record).outcome;
    const isLong = isLongClass(lengthClass);
    const laneEngines =
        [...host.views.values()].filter(view => view.reachable && host.lanes.longLane.has(view.endpoint) === isLong)
            .length;
    const rate = Math.max(1, laneEngines) * ENGINE.prefillTokensPerSecond / host.fleet.scenario.user.hosts;
    const queueMs = estimateQueueDelay(host.queue, lengthClass, rate);
    switch (outcome.kind) {
        case "send":
        case "wait":
            return outcome.expectedFirstTokenMs + queueMs;
        case "gang": {
            const { plan } = planGang(host.fleet.scenario.policy, buildInput(host, record));
            if (plan.kind === "too_large") {
                return undefined;
            }
            const waitingMs = plan.kind === "members" ? plan.expectedFirstTokenMs : estimateGangPrefillMs(record);
            return waitingMs + queueMs;
        }
        case "refuse":
            return undefined;
    }
}

/** Prefill time on two engines, the fewest that a gang has. */
const estimateGangPrefillMs = (record: RequestRecord): number =>
    record.arrival.promptTokens / ENGINE.prefillTokensPerSecond / 2 * 1_000;

function pushRecord(host: HostState, record: RequestRecord): void {
    const { arrival } = record;
    host.queue = pushRequest(host.queue, {
        request: arrival.request,
        workspace: arrival.workspace,
        lengthClass: arrival.lengthClass,
        priority: arrival.priority,
        weight: 1,
        tokens: arrival.promptTokens,
        enqueuedAtMs: arrival.atMs,
        deadlineMs: arrival.deadlineMs,
        notBeforeMs: 0,
    });
}

function refuseExpired(host: HostState): void {
    const { queue, expired } = takeExpired(host.queue, host.fleet.events.now, entry => estimateServiceMs(host, entry));
    host.queue = queue;
    for (const entry of expired) {
        const record = host.records.get(entry.request);
        if (record?.outcome === "pending") {
            record.outcome = record.firstTokenAtMs === undefined ? "refused" : "unanswered";
        }
    }
}

/** Time that a waiting request needs from its start to the end of the answer. */
function estimateServiceMs(host: HostState, entry: QueuedRequest): number {
    const record = host.records.get(entry.request);
    const outputTokens = record?.arrival.outputTokens ?? 0;
    return entry.tokens / ENGINE.prefillTokensPerSecond * 1_000 * 1.5 + outputTokens * TOKEN_INTERVAL_MS * 1.2;
}

function startRequest(host: HostState, record: RequestRecord, outcome: RoutingOutcome): void {
    if (outcome.kind === "send") {
        sendRequest(host, record, outcome);
        return;
    }
    if (outcome.kind !== "gang") {
        return;
    }
    const end = runGang(host, record, {
        priority: outcome.enginePriority,
        expectedServiceMs: estimateGangPrefillMs(record) * 1.5 + record.arrival.outputTokens * TOKEN_INTERVAL_MS * 1.2,
        onEnd: () => dispatchWaiting(host),
    });
    host.fleet.events.schedule(
        record.arrival.deadlineMs - CLIENT_DELAY_MS - host.fleet.events.now,
        () => record.outcome !== "answered" && end(),
    );
}

function sendRequest(host: HostState, record: RequestRecord, outcome: SendOutcome): void {
    const { arrival } = record;
    startAttempt(host, {
        record,
        endpoint: outcome.endpoint.endpoint,
        priority: outcome.enginePriority,
        promptTokens: arrival.promptTokens,
        cachedTokens: outcome.cachedTokens,
        outputTokens: arrival.outputTokens,
        memoryTokens: arrival.promptTokens + arrival.outputTokens,
        isAllocated: false,
        onFirstToken: () => recordFirstTokenAtCaller(host, record),
        onEnd: () => {
            recordAnswer(host, record);
            dispatchWaiting(host);
        },
        onFail: () => retryRequest(host, record),
    });
}

function retryRequest(host: HostState, record: RequestRecord): void {
    const { budget, allowed } = spendRetry(host.retries);
    host.retries = budget;
    if (record.outcome !== "pending") {
        return;
    }
    if (!allowed) {
        record.outcome = "unanswered";
        return;
    }
    pushRecord(host, record);
    dispatchWaiting(host);
}

function endAtDeadline(host: HostState, record: RequestRecord): void {
    if (record.outcome !== "pending") {
        return;
    }
    record.outcome = record.firstTokenAtMs === undefined ? "unanswered" : "late";
    for (const [id, attempt] of [...host.running]) {
        if (attempt.record === record) {
            cancelAttempt(host, id);
        }
    }
    dispatchWaiting(host);
}

const scheduled = new WeakSet<HostState>();

function scheduleDispatch(host: HostState): void {
    if (scheduled.has(host)) {
        return;
    }
    scheduled.add(host);
    host.fleet.events.schedule(RETRY_QUEUE_MS, () => {
        scheduled.delete(host);
        dispatchWaiting(host);
    });
}

/** Timeouts are per class; the simulation ends when the last one has passed. */
export const LONGEST_TIMEOUT_MS = Math.max(...Object.values(TIMEOUT_MS));
