/** Serves requests whose response is a stream of server-sent events. */
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import { defaultPlacementWeights } from "../../placement/model/placementWeights.js";
import type { PromptPlacement } from "../../placement/model/promptPlacement.js";
import { buildAssignedWork } from "../../placement/queries/buildAssignedWork.js";
import { chooseLeastLoaded } from "../../placement/queries/chooseLeastLoaded.js";
import { choosePlacement } from "../../placement/queries/choosePlacement.js";
import { describePlacement } from "../../placement/queries/describePlacement.js";
import type { PlacementRequest } from "../../placement/queries/scoreEndpoint.js";
import { selectCandidates } from "../../placement/queries/selectCandidates.js";
import { reserveShardMemory, type ShardReservations } from "../../reservations/commands/reserveShardMemory.js";
import type { Exchange } from "../model/exchange.js";
import { listLoads } from "../queries/listLoads.js";
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
    readonly placement: PromptPlacement;
    /** Endpoints of further shards, in the order of `placement.helperShards`. */
    readonly helpers: readonly Endpoint[];
    /** Set if the shards need memory at other endpoints. */
    readonly reservedMemory?: ShardReservations;
    /** To be called once the assignments have been added, or will not be. */
    readonly settle: () => void;
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
            chosen?.settle();
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
    const refusedIds = new Set<string>();
    for (let attempt = 1;; attempt += 1) {
        const excludedIds = [...[...tried].map(endpoint => endpoint.entry.id), ...refusedIds];
        const chosen = await decideEndpoints(context, exchange, excludedIds);
        if (chosen === undefined) {
            return undefined;
        }
        const needs = listShardNeeds(chosen);
        if (needs.length === 0) {
            return chosen;
        }
        const reservedMemory = await reserveShardMemory(context, needs);
        if (reservedMemory !== undefined) {
            return { ...chosen, reservedMemory };
        }
        chosen.settle();
        if (
            attempt >= MAX_RESERVATION_ATTEMPTS || exchange.isDisconnected || performance.now() >= exchange.deadlineAtMs
        ) {
            return undefined;
        }
        needs.forEach(need => refusedIds.add(need.endpoint.entry.id));
    }
}

const listShardNeeds = ({ placement, helpers }: ChosenEndpoints): { endpoint: Endpoint; tokens: number; }[] =>
    helpers.flatMap((endpoint, index) => {
        const tokens = placement.helperShards[index]?.reserveTokens ?? 0;
        return tokens === 0 ? [] : [{ endpoint, tokens }];
    });

/** Places the stream by a coordinator, or in a small fleet and without an answer by this host. */
async function decideEndpoints(
    context: ForwardingContext,
    exchange: Exchange,
    excludedIds: readonly string[],
): Promise<ChosenEndpoints | undefined> {
    const isCoordinated = !context.isSmallFleet() && exchange.service.engine !== undefined;
    const coordinated = isCoordinated
        ? await context.placePrompt({
            ...describePrompt(exchange, performance.now()),
            service: exchange.service.name,
            excludedIds,
        })
        : undefined;
    const found = coordinated === undefined ? undefined : findEndpoints(context, coordinated.placement);
    if (coordinated !== undefined && found !== undefined) {
        return { ...found, placement: coordinated.placement, settle: coordinated.settle };
    }
    coordinated?.settle();
    const placement = planStream(context, exchange, excludedIds);
    const planned = placement === undefined ? undefined : findEndpoints(context, placement);
    return placement === undefined || planned === undefined
        ? undefined
        : { ...planned, placement, settle: () => undefined };
}

/** Finds the endpoints of a placement. Returns `undefined` if this host does not know one of them. */
function findEndpoints(
    { directory }: ForwardingContext,
    { primaryId, helperShards }: PromptPlacement,
): Pick<ChosenEndpoints, "endpoint" | "helpers"> | undefined {
    const endpoint = directory.get(primaryId);
    const helpers = helperShards.flatMap(shard => directory.get(shard.endpointId) ?? []);
    return endpoint === undefined || helpers.length < helperShards.length ? undefined : { endpoint, helpers };
}

function describePrompt(exchange: Exchange, nowMs: number): PlacementRequest {
    return {
        promptTokens: exchange.callerMetadata.promptTokens ?? DEFAULT_PROMPT_TOKENS,
        answerTokens: exchange.callerMetadata.answerTokens ?? exchange.service.engine?.meanAnswerTokens ?? 0,
        targetMs: exchange.route.targetMs - (nowMs - exchange.startedAtMs),
        targetPauseMs: exchange.route.targetPauseMs,
    };
}

/** Plans the stream by what this host knows. */
function planStream(
    context: ForwardingContext,
    exchange: Exchange,
    excludedIds: readonly string[],
): PromptPlacement | undefined {
    const nowMs = performance.now();
    const { engine } = exchange.service;
    const { localFailureDomain: localDomain } = context.directory;
    const allLoads = listLoads(context, exchange.service.name, nowMs);
    const loads = allLoads.filter(load => !excludedIds.includes(load.id));
    if (engine === undefined) {
        const first = chooseLeastLoaded(loads, localDomain, Math.random());
        return first === undefined ? undefined : {
            primaryId: first.id,
            helperShards: [],
            firstEventMs: 0,
            backlogMs: 0,
            cost: 0,
            assignedCount: first.assignments.length,
        };
    }
    const candidates = context.isSmallFleet() ? loads : selectCandidates(loads, localDomain);
    const placementContext = { engine, hostDomain: localDomain, nowMs, weights: defaultPlacementWeights };
    const prompt = describePrompt(exchange, nowMs);
    const placement = choosePlacement(placementContext, candidates, prompt)
        ?? choosePlacement(placementContext, loads, prompt);
    return placement === undefined ? undefined : describePlacement(placement);
}

/** Runs one attempt. Its assignments are announced to peers while it runs. */
async function runWithAssignments(
    context: ForwardingContext,
    exchange: Exchange,
    progress: StreamProgress,
    chosen: ChosenEndpoints,
    isFinalAttempt: boolean,
): Promise<StreamAttemptResult> {
    const nowMs = performance.now();
    const prompt = describePrompt(exchange, nowMs);
    const assignments = buildAssignedWork(exchange.service.engine, prompt, chosen.placement)
        .map(work => context.assignmentRegistry.add(work, nowMs));
    chosen.settle();
    try {
        return await runStreamAttempt(context, exchange, progress, {
            endpoint: chosen.endpoint,
            isFinalAttempt,
            placement: chosen.placement,
            shardTargets: chosen.helpers.map(helper => {
                const reservation = chosen.reservedMemory?.reservations.find(each => each.endpoint === helper);
                return {
                    address: helper.entry.address,
                    ...(reservation === undefined ? {} : { reservationId: reservation.id }),
                };
            }),
            onFirstEvent: () =>
                assignments.forEach(assignment =>
                    context.assignmentRegistry.markPrefilled(assignment.id, performance.now())
                ),
        });
    }
    finally {
        assignments.forEach(assignment => context.assignmentRegistry.remove(assignment.id));
        chosen.reservedMemory?.release();
    }
}
