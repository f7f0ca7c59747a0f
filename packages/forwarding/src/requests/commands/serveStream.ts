/** Serves requests whose response is a stream of server-sent events. */
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Assignment } from "../../placement/model/assignment.js";
import type { EndpointLoad } from "../../placement/model/endpointLoad.js";
import { defaultPlacementWeights } from "../../placement/model/placementWeights.js";
import { chooseLeastLoaded } from "../../placement/queries/chooseLeastLoaded.js";
import { choosePlacement, type Placement } from "../../placement/queries/choosePlacement.js";
import { estimatePrefillMs } from "../../placement/queries/estimateEngine.js";
import { selectCandidates } from "../../placement/queries/selectCandidates.js";
import { reserveShardMemory, type ShardReservations } from "../../reservations/commands/reserveShardMemory.js";
import type { Exchange } from "../model/exchange.js";
import { type CandidateLoad, listLoads } from "../queries/listLoads.js";
import { runStreamAttempt, type StreamAttemptResult, type StreamProgress } from "./runStreamAttempt.js";
import { type RefusalReason, sendRefusal } from "./sendRefusal.js";

/** Limit on attempts that fail before the request is sent. They do not count as attempts of the route. */
const MAX_CONNECT_FAILURES = 4;
/** Number of placements that are tried if reservations are not granted. */
const MAX_RESERVATION_ATTEMPTS = 3;
/** Assumed prompt length in tokens if the caller does not state it. */
const DEFAULT_PROMPT_TOKENS = 1_000;

interface ChosenEndpoints {
    readonly endpoint: Endpoint;
    readonly placement?: Placement;
    /** Set if the shards need memory at other endpoints. */
    readonly reservedMemory?: ShardReservations;
}

/** Serves a stream. Resolves with the outcome when the caller has the complete response or can no longer get it. */
export async function serveStream(context: ForwardingContext, exchange: Exchange): Promise<string> {
    const progress: StreamProgress = {
        lastEventId: exchange.callerMetadata.lastEventId,
        hasSentHeaders: false,
        events: 0,
    };
    const tried = new Set<Endpoint>();
    let attemptsSent = 0;
    let connectFailures = 0;
    let mayHaveRun = false;
    for (;;) {
        if (attemptsSent > 0 && !context.retryBudget.spend(exchange.service.name, performance.now())) {
            context.log.warn({ request: exchange.requestId }, "requests: retry budget exhausted");
            return finishWithRefusal(context, exchange, mayHaveRun ? "outcome_unknown" : "not_run");
        }
        const chosen = await chooseEndpoints(context, exchange, tried);
        if (exchange.isDisconnected) {
            chosen?.reservedMemory?.release();
            return "caller_gone";
        }
        if (chosen === undefined) {
            const reason = mayHaveRun ? "outcome_unknown" : tried.size === 0 ? "no_endpoint" : "not_run";
            return finishWithRefusal(context, exchange, reason);
        }
        tried.add(chosen.endpoint);
        const isFinalAttempt = attemptsSent + 1 >= exchange.route.attempts || !exchange.route.canResume;
        const end = await runWithAssignments(context, exchange, progress, chosen, isFinalAttempt);
        if (!("wasSent" in end)) {
            return end.kind === "out_of_time" ? finishWithRefusal(context, exchange, end.kind) : end.kind;
        }
        mayHaveRun ||= end.kind === "broken";
        if (end.wasSent) {
            attemptsSent += 1;
        }
        else {
            connectFailures += 1;
        }
        const canRetry = (exchange.route.canResume || !mayHaveRun)
            && attemptsSent < exchange.route.attempts
            && connectFailures < MAX_CONNECT_FAILURES;
        if (!canRetry) {
            return finishWithRefusal(context, exchange, mayHaveRun ? "outcome_unknown" : "not_run");
        }
    }
}

function finishWithRefusal(context: ForwardingContext, exchange: Exchange, reason: RefusalReason): string {
    sendRefusal(exchange.response, reason, context.callers.buildResponseHeaders(exchange.requestId));
    return reason;
}

/** Chooses the endpoints for the stream and reserves the memory that its prefill shards need. */
async function chooseEndpoints(
    context: ForwardingContext,
    exchange: Exchange,
    tried: ReadonlySet<Endpoint>,
): Promise<ChosenEndpoints | undefined> {
    const refusedIds = new Set<EndpointLoad["id"]>();
    for (let attempt = 1;; attempt += 1) {
        const nowMs = performance.now();
        const allLoads = listLoads(context, exchange.service.name, nowMs);
        const candidates = context.isSmallFleet()
            ? allLoads
            : selectCandidates(allLoads, context.directory.localFailureDomain);
        const isUntried = (load: CandidateLoad): boolean => !tried.has(load.endpoint) && !refusedIds.has(load.id);
        const loads = allLoads.filter(isUntried);
        const placement = planStream(context, exchange, candidates.filter(isUntried), nowMs)
            ?? planStream(context, exchange, loads, nowMs);
        const endpoint = loads.find(load => load.id === placement?.primary.id)?.endpoint;
        if (placement === undefined || endpoint === undefined) {
            return undefined;
        }
        const needs = listShardNeeds(loads, placement);
        if (needs.length === 0) {
            return { endpoint, placement };
        }
        const reservedMemory = await reserveShardMemory(context, needs);
        if (reservedMemory !== undefined) {
            return { endpoint, placement, reservedMemory };
        }
        if (
            attempt >= MAX_RESERVATION_ATTEMPTS || exchange.isDisconnected || performance.now() >= exchange.deadlineAtMs
        ) {
            return undefined;
        }
        needs.forEach(need => refusedIds.add(need.endpoint.entry.id));
    }
}

function listShardNeeds(
    loads: readonly CandidateLoad[],
    placement: Placement,
): { endpoint: Endpoint; tokens: number; }[] {
    return placement.helperShards.flatMap(shard => {
        const endpoint = loads.find(load => load.id === shard.load.id)?.endpoint;
        return endpoint === undefined || shard.reserveTokens === 0 ? [] : [{ endpoint, tokens: shard.reserveTokens }];
    });
}

function planStream(
    context: ForwardingContext,
    exchange: Exchange,
    loads: readonly CandidateLoad[],
    nowMs: number,
): Placement | undefined {
    const { engine } = exchange.service;
    const { localFailureDomain: localDomain } = context.directory;
    if (engine === undefined) {
        const first = chooseLeastLoaded(loads, localDomain, Math.random());
        return first === undefined
            ? undefined
            : { primary: first, helperShards: [], firstEventMs: 0, backlogMs: 0, cost: 0 };
    }
    return choosePlacement({ engine, hostDomain: localDomain, nowMs, weights: defaultPlacementWeights }, loads, {
        promptTokens: exchange.callerMetadata.promptTokens ?? DEFAULT_PROMPT_TOKENS,
        answerTokens: exchange.callerMetadata.answerTokens ?? engine.meanAnswerTokens,
        targetMs: exchange.route.targetMs - (nowMs - exchange.startedAtMs),
        targetPauseMs: exchange.route.targetPauseMs,
    });
}

/** Runs one attempt. Its assignments are announced to peers while it runs. */
async function runWithAssignments(
    context: ForwardingContext,
    exchange: Exchange,
    progress: StreamProgress,
    chosen: ChosenEndpoints,
    isFinalAttempt: boolean,
): Promise<StreamAttemptResult> {
    const addedAssignments = addAssignments(context, exchange, chosen);
    try {
        return await runStreamAttempt(context, exchange, progress, {
            endpoint: chosen.endpoint,
            isFinalAttempt,
            ...(chosen.placement === undefined ? {} : { placement: chosen.placement }),
            shardTargets: (chosen.placement?.helperShards ?? []).map(shard => {
                const reservation = chosen.reservedMemory?.reservations.find(each =>
                    each.endpoint.entry.id === shard.load.id
                );
                return {
                    address: shard.load.address,
                    ...(reservation === undefined ? {} : { reservationId: reservation.id }),
                };
            }),
            onFirstEvent: () =>
                addedAssignments.forEach(assignment =>
                    context.assignmentRegistry.markPrefilled(assignment.id, performance.now())
                ),
        });
    }
    finally {
        addedAssignments.forEach(assignment => context.assignmentRegistry.remove(assignment.id));
        chosen.reservedMemory?.release();
    }
}

/** Adds an assignment for the endpoint that decodes, and one for each endpoint that prefills a further shard. */
function addAssignments(
    context: ForwardingContext,
    exchange: Exchange,
    chosen: ChosenEndpoints,
): readonly Assignment[] {
    const nowMs = performance.now();
    const promptTokens = exchange.callerMetadata.promptTokens ?? DEFAULT_PROMPT_TOKENS;
    const { engine } = exchange.service;
    const placedShards = chosen.placement?.helperShards ?? [];
    const endpointCount = placedShards.length + 1;
    const estimatedPrefillMs = engine === undefined ? 0 : estimatePrefillMs(engine, promptTokens, endpointCount);
    const reservedTokens = placedShards.reduce((sum, shard) => sum + shard.reserveTokens, 0);
    const answerTokens = exchange.callerMetadata.answerTokens ?? engine?.meanAnswerTokens ?? 0;
    const sharedFields = {
        prefillTokens: Math.ceil(promptTokens / endpointCount),
        promptShards: endpointCount,
        prefillMs: estimatedPrefillMs,
        targetMs: exchange.route.targetMs - (nowMs - exchange.startedAtMs),
        targetPauseMs: exchange.route.targetPauseMs,
    };
    const primaryAssignment = {
        ...sharedFields,
        endpointId: chosen.endpoint.entry.id,
        memoryTokens: Math.max(0, promptTokens - reservedTokens) + answerTokens,
        isDecodedElsewhere: false,
    };
    const helperAssignments = placedShards.map(shard => ({
        ...sharedFields,
        endpointId: shard.load.id,
        memoryTokens: shard.reserveTokens,
        isDecodedElsewhere: true,
    }));
    return [primaryAssignment, ...helperAssignments].map(work => context.assignmentRegistry.add(work, nowMs));
}
