/** Simulates the request handling of a host: admission, queueing, routing and retries, as the core decides them. */
import {
    decideAdmission,
    estimateQueueDelay,
    findPrefixHits,
    isLongClass,
    planGang,
    pushRequest,
    type QueuedRequest,
    recordLaneDemand,
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
import { CLIENT_DELAY_MS } from "../model/simulatedNetwork.js";
import { runGang } from "./runGang.js";
import { cancelAttempt, recordAnswer, recordFirstTokenAtCaller, startAttempt } from "./startAttempt.js";

/** Time between two tokens of an answer that admission assumes. */
const TOKEN_INTERVAL_MS = 58;
const DECODE_TOKENS_PER_SECOND = 1_000 / TOKEN_INTERVAL_MS;
/** Interval at which a host with pending requests tries again to dispatch them. */
const DISPATCH_RETRY_MS = 100;

type SendOutcome = Extract<RoutingOutcome, { kind: "send"; }>;

/** Admits a request and queues it, or refuses it if its deadline cannot be met. */
export function acceptRequest(host: HostState, record: RequestRecord): void {
    const { arrival } = record;
    const now = host.fleet.events.now;
    host.records.set(arrival.request, record);
    host.meter = recordLaneDemand(host.meter, arrival.lengthClass, arrival.promptTokens, now);
    const expectedFirstTokenMs = estimateFirstTokenMs(host, record);
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
    host.fleet.events.schedule(arrival.deadlineMs - now - CLIENT_DELAY_MS, () => expireRequest(host, record));
    enqueueRecord(host, record);
    dispatchPending(host);
}

/** Starts pending requests as long as the policy finds endpoints for them. */
export function dispatchPending(host: HostState): void {
    refuseExpired(host);
    const blockedClasses = new Set<string>();
    for (;;) {
        let decision: RoutingDecision | undefined;
        const taken = takeRequest(host.queue, host.fleet.events.now, entry => {
            const record = host.records.get(entry.request);
            if (record === undefined || blockedClasses.has(entry.lengthClass)) {
                return false;
            }
            decision = routeRequest(host, record);
            const canStart = decision.outcome.kind === "send" || decision.outcome.kind === "gang";
            if (!canStart) {
                blockedClasses.add(entry.lengthClass);
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
    if (host.queue.pendingRequests.length > 0) {
        scheduleDispatch(host);
    }
}

/** Fails the attempts on endpoints that the host can no longer reach. */
export function failUnreachableAttempts(host: HostState): void {
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

/**
 * Estimates the time to first token, in milliseconds, including the delay of the host's queue. Returns `undefined` if
 * no endpoint can serve the request.
 */
function estimateFirstTokenMs(host: HostState, record: RequestRecord): number | undefined {
    const { lengthClass } = record.arrival;
    const outcome = routeRequest(host, record).outcome;
    const isLong = isLongClass(lengthClass);
    const laneEngineCount =
        [...host.views.values()].filter(view => view.reachable && host.lanes.longLane.has(view.endpoint) === isLong)
            .length;
    const tokensPerSecond = Math.max(1, laneEngineCount) * ENGINE.prefillTokensPerSecond
        / host.fleet.scenario.user.hosts;
    const queueMs = estimateQueueDelay(host.queue, lengthClass, tokensPerSecond);
    switch (outcome.kind) {
        case "send":
        case "wait":
            return outcome.expectedFirstTokenMs + queueMs;
        case "gang": {
            const { plan } = planGang(host.fleet.scenario.policy, buildInput(host, record));
            if (plan.kind === "too_large") {
                return undefined;
            }
            const firstTokenMs = plan.kind === "members" ? plan.expectedFirstTokenMs : estimateGangPrefillMs(record);
            return firstTokenMs + queueMs;
        }
        case "refuse":
            return undefined;
    }
}

/** Estimates the prefill time on two engines, the minimum size of a gang. */
const estimateGangPrefillMs = (record: RequestRecord): number =>
    record.arrival.promptTokens / ENGINE.prefillTokensPerSecond / 2 * 1_000;

function enqueueRecord(host: HostState, record: RequestRecord): void {
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

/** Removes requests from the queue that can no longer be answered before their deadlines. */
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

/** Estimates the time that a pending request needs from its start to the end of the answer, with a margin. */
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
    const abort = runGang(host, record, {
        priority: outcome.enginePriority,
        expectedServiceMs: estimateGangPrefillMs(record) * 1.5 + record.arrival.outputTokens * TOKEN_INTERVAL_MS * 1.2,
        onEnd: () => dispatchPending(host),
    });
    host.fleet.events.schedule(
        record.arrival.deadlineMs - CLIENT_DELAY_MS - host.fleet.events.now,
        () => record.outcome !== "answered" && abort(),
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
            dispatchPending(host);
        },
        onFail: wasReceived => retryRequest(host, record, wasReceived),
    });
}

/** Queues a request again after a failed attempt. Only an attempt that put load on an engine uses the retry budget. */
function retryRequest(host: HostState, record: RequestRecord, wasReceived: boolean): void {
    if (record.outcome !== "pending") {
        return;
    }
    const { budget, allowed } = wasReceived ? spendRetry(host.retries) : { budget: host.retries, allowed: true };
    host.retries = budget;
    if (!allowed) {
        record.outcome = "unanswered";
        return;
    }
    enqueueRecord(host, record);
    dispatchPending(host);
}

/** Ends a request whose deadline has passed, and cancels its attempts. */
function expireRequest(host: HostState, record: RequestRecord): void {
    if (record.outcome !== "pending") {
        return;
    }
    record.outcome = record.firstTokenAtMs === undefined ? "unanswered" : "late";
    for (const [id, attempt] of [...host.running]) {
        if (attempt.record === record) {
            cancelAttempt(host, id);
        }
    }
    dispatchPending(host);
}

/** Hosts whose next dispatch is already scheduled. */
const hostsWithScheduledDispatch = new WeakSet<HostState>();

function scheduleDispatch(host: HostState): void {
    if (hostsWithScheduledDispatch.has(host)) {
        return;
    }
    hostsWithScheduledDispatch.add(host);
    host.fleet.events.schedule(DISPATCH_RETRY_MS, () => {
        hostsWithScheduledDispatch.delete(host);
        dispatchPending(host);
    });
}

/** Largest timeout of all length classes. The simulation ends this long after the last arrival. */
export const LONGEST_TIMEOUT_MS = Math.max(...Object.values(TIMEOUT_MS));
