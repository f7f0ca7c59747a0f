/** Serves requests whose response is a stream of server-sent events. */
import { type Clocks, readClocks, type ServiceId } from "@currantrill/protocol";
import { probeEndpoint } from "../../endpoints/commands/probeEndpoint.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { isServiceEvacuated } from "../../evacuation/queries/isServiceEvacuated.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import { defaultPlacementWeights } from "../../placement/model/placementWeights.js";
import type { PromptPlacement } from "../../placement/model/promptPlacement.js";
import { buildAssignedWork } from "../../placement/queries/buildAssignedWork.js";
import { chooseLeastLoaded } from "../../placement/queries/chooseLeastLoaded.js";
import { choosePlacement } from "../../placement/queries/choosePlacement.js";
import { describePlacement } from "../../placement/queries/describePlacement.js";
import type { PlacementRequest } from "../../placement/queries/scoreEndpoint.js";
import { selectCandidates } from "../../placement/queries/selectCandidates.js";
import { monitorPrimary } from "../../reservations/commands/monitorPrimary.js";
import { reserveShardMemory, type ShardReservations } from "../../reservations/commands/reserveShardMemory.js";
import { createStallCheck } from "../../reservations/model/stallCheck.js";
import { selectWarm } from "../../warmup/queries/selectWarm.js";
import type { Exchange } from "../model/exchange.js";
import { createSilentAttempts, type SilentAttempts } from "../model/silentAttempts.js";
import type { StreamAttemptPlan, StreamAttemptResult, StreamProgress } from "../model/streamAttempt.js";
import { canBeAnswered } from "../queries/canAnswerInTime.js";
import { countLeft, DEFAULT_PROMPT_TOKENS } from "../queries/countLeft.js";
import { getRetrySeconds } from "../queries/getRetrySeconds.js";
import { hasPossiblyRun } from "../queries/hasPossiblyRun.js";
import { isAvailable } from "../queries/isAvailable.js";
import { listLoads } from "../queries/listLoads.js";
import { admitExchange, refuseIsolated } from "./admitExchange.js";
import { checkCrash } from "./checkCrash.js";
import { createStreamProgress } from "./createStreamProgress.js";
import { finishAtStop } from "./finishAtStop.js";
import { reportSilentCrash } from "./reportSilentCrash.js";
import { runStreamAttempt } from "./runStreamAttempt.js";
import { type RefusalReason, sendRefusal } from "./sendRefusal.js";

/** Limit on attempts that fail before the request is sent. They do not count as attempts of the route. */
const MAX_CONNECT_FAILURES = 4;
/** Number of placements that are tried if reservations are not granted. */
const MAX_RESERVATION_ATTEMPTS = 3;
/** Number of placements for which permits are requested. After that only endpoints without a rate limit are used. */
const MAX_PERMIT_ATTEMPTS = 3;

interface ChosenEndpoints {
    readonly endpoint: Endpoint;
    readonly placement: PromptPlacement;
    /** Endpoints of further shards, in the order of `placement.helperShards`. */
    readonly helpers: readonly Endpoint[];
    /** Set if the shards need memory at other endpoints. */
    readonly reservedMemory?: ShardReservations;
    /** When the permits of the endpoints were granted. */
    readonly permittedAt: Clocks;
    /** To be called once the assignments have been added, or will not be. */
    readonly settle: () => void;
}

/** Serves a stream. Resolves with the outcome when the caller has the complete response or can no longer get it. */
export async function serveStream(context: ForwardingContext, exchange: Exchange): Promise<string> {
    const silent = createSilentAttempts();
    try {
        return await runAttempts(context, exchange, silent);
    }
    finally {
        silent.end();
    }
}

async function runAttempts(context: ForwardingContext, exchange: Exchange, silent: SilentAttempts): Promise<string> {
    const finish = (refuse: () => string): Promise<string> => finishOrContinue(context, exchange, silent, refuse);
    const progress = createStreamProgress(context, exchange);
    const tried = new Set<Endpoint>();
    let attemptsSent = 0;
    let connectFailures = 0;
    let mayHaveRun = false;
    for (;;) {
        const admission = await admitExchange(context, exchange);
        if (admission.kind === "isolated") {
            return finish(() => refuseIsolated(context, exchange, admission));
        }
        if (attemptsSent > 0 && !context.retryBudget.spend(exchange.service.name, performance.now())) {
            context.log.warn({ request: exchange.requestId }, "requests: retry budget exhausted");
            return finish(() => refuseUnfinished(context, exchange));
        }
        const chosen = await chooseEndpoints(context, exchange, tried);
        const hasGoneOn = silent.hasGoneOn();
        if (exchange.hasEnded || hasGoneOn || !progress.hasSentHeaders && !canBeAnswered(context, exchange)) {
            releaseChosen(chosen);
            return exchange.hasEnded
                ? "caller_gone"
                : finish(() =>
                    hasGoneOn
                        ? finishWithRefusal(context, exchange, "outcome_unknown")
                        : finishAtStop(context, exchange)
                );
        }
        if (chosen === undefined) {
            return finish(() =>
                mayHaveRun
                    ? finishWithRefusal(context, exchange, "outcome_unknown")
                    : refuseUnplaced(context, exchange, tried.size > 0)
            );
        }
        if (admission.kind === "admitted" && context.quarantine.isIsolated(exchange.tracked)) {
            releaseChosen(chosen);
            continue;
        }
        tried.add(chosen.endpoint);
        const isFinalAttempt = attemptsSent + 1 >= exchange.route.attempts || !exchange.route.canResume
            || admission.kind === "trial";
        const end = await runWithAssignments(context, exchange, progress, chosen, {
            isFinalAttempt,
            ...silent.plan(chosen.reservedMemory === undefined),
        });
        if (!("wasSent" in end)) {
            return finishEnded(context, exchange, end);
        }
        if (silent.hasGoneOn()) {
            return finish(() => finishWithRefusal(context, exchange, "outcome_unknown"));
        }
        if (end.kind === "silent") {
            silent.add(end.attempt);
            void reportSilentCrash(context, exchange, chosen.endpoint, end.attempt);
        }
        const isBroken = end.kind === "broken";
        if (isBroken && await isCrashSuspected(context, exchange, chosen.endpoint, end.mayBeCrash === true)) {
            return finish(() => finishWithRefusal(context, exchange, "crash_suspected"));
        }
        mayHaveRun ||= end.kind !== "not_run";
        if (end.wasSent) {
            attemptsSent += 1;
        }
        else {
            connectFailures += 1;
        }
        const canRetry = (admission.kind === "admitted" || !end.wasSent)
            && (exchange.route.canResume || !mayHaveRun)
            && attemptsSent < exchange.route.attempts
            && connectFailures < MAX_CONNECT_FAILURES;
        if (!canRetry) {
            return finish(() => refuseUnfinished(context, exchange));
        }
    }
}

/** Releases endpoints to which the stream is not sent. */
function releaseChosen(chosen: ChosenEndpoints | undefined): void {
    chosen?.reservedMemory?.release();
    chosen?.settle();
}

/** Refuses a stream for which no other attempt can be made, unless one at a silent endpoint serves it. */
async function finishOrContinue(
    context: ForwardingContext,
    exchange: Exchange,
    silent: SilentAttempts,
    refuse: () => string,
): Promise<string> {
    const end = exchange.hasEnded ? undefined : await silent.resumeAlone();
    return end === undefined || "wasSent" in end ? refuse() : finishEnded(context, exchange, end);
}

/** Finishes a stream after an attempt that was not replaced. */
function finishEnded(
    context: ForwardingContext,
    exchange: Exchange,
    { kind }: Exclude<StreamAttemptResult, { wasSent: boolean; }>,
): string {
    if (kind === "stopped") {
        return finishAtStop(context, exchange);
    }
    const reason = fatalReasons[kind];
    return reason === undefined ? kind : finishWithRefusal(context, exchange, reason);
}

/** Refusals of attempts after which no other endpoint is tried. */
const fatalReasons: Readonly<Partial<Record<StreamAttemptResult["kind"], RefusalReason>>> = {
    out_of_time: "out_of_time",
    isolated: "crash_suspected",
    too_large: "outcome_unknown",
};

/** Returns whether the prompt may be the reason why the endpoint of its last attempt crashed. */
async function isCrashSuspected(
    context: ForwardingContext,
    exchange: Exchange,
    endpoint: Endpoint,
    mayBeCrash: boolean,
): Promise<boolean> {
    const record = exchange.attempts.at(-1);
    return record !== undefined && await checkCrash(context, exchange, { endpoint, record, mayBeCrash });
}

function finishWithRefusal(context: ForwardingContext, exchange: Exchange, reason: RefusalReason): string {
    sendRefusal(exchange.response, reason, context.callers.buildResponseHeaders(exchange.requestId));
    return reason;
}

const refuseUnfinished = (context: ForwardingContext, exchange: Exchange): string =>
    finishWithRefusal(context, exchange, hasPossiblyRun(exchange) ? "outcome_unknown" : "not_run");

/** Refuses a request for which there is no endpoint, and which has not run. */
function refuseUnplaced(context: ForwardingContext, exchange: Exchange, wasTried: boolean): string {
    const retrySeconds = getRetrySeconds(context, exchange.service.name, countLeft(exchange));
    if (retrySeconds === undefined) {
        const isEvacuated = isServiceEvacuated(context, exchange.service.name);
        return finishWithRefusal(context, exchange, isEvacuated ? "evacuated" : wasTried ? "not_run" : "no_endpoint");
    }
    const headers = context.callers.buildResponseHeaders(exchange.requestId);
    sendRefusal(exchange.response, "rate_limited", headers, retrySeconds);
    return "rate_limited";
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
            attempt >= MAX_RESERVATION_ATTEMPTS || exchange.hasEnded || performance.now() >= exchange.deadlineAtMs
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
            excludedIds: [...excludedIds, ...listPausedIds(context, exchange.service.name)],
        })
        : undefined;
    const found = coordinated === undefined ? undefined : findEndpoints(context, coordinated.placement);
    if (coordinated !== undefined && found !== undefined) {
        return {
            ...found,
            placement: coordinated.placement,
            settle: coordinated.settle,
            permittedAt: readClocks(),
        };
    }
    coordinated?.settle();
    return planPermitted(context, exchange, excludedIds);
}

/** Plans the stream by what this host knows, until the permits that it needs are granted. */
async function planPermitted(
    context: ForwardingContext,
    exchange: Exchange,
    excludedIds: readonly string[],
): Promise<ChosenEndpoints | undefined> {
    const permitsLeft = countLeft(exchange);
    for (let attempt = 1;; attempt += 1) {
        const placement = planStream(context, exchange, excludedIds, attempt);
        const planned = placement === undefined ? undefined : findEndpoints(context, placement);
        if (placement === undefined || planned === undefined) {
            return undefined;
        }
        if (await context.permits.acquire({ endpoints: [planned.endpoint, ...planned.helpers], permitsLeft })) {
            return { ...planned, placement, settle: () => undefined, permittedAt: readClocks() };
        }
    }
}

/** Lists the endpoints that want no request of this host now, which the coordinator does not know. */
function listPausedIds({ directory }: ForwardingContext, service: ServiceId): readonly string[] {
    const now = readClocks();
    return directory.listReady(service)
        .filter(endpoint => endpoint.notices.getPauseMs(now) > 0)
        .map(endpoint => endpoint.entry.id);
}

/**
 * Finds the endpoints of a placement. Returns `undefined` if this host does not know one of them, or if one is in an
 * evacuated domain, which a coordinator may not know yet.
 */
function findEndpoints(
    { directory, evacuations }: ForwardingContext,
    { primaryId, helperShards }: PromptPlacement,
): Pick<ChosenEndpoints, "endpoint" | "helpers"> | undefined {
    const find = (id: string): Endpoint | undefined => {
        const found = directory.get(id);
        return found === undefined || evacuations.isEvacuated(found.entry.failureDomain) ? undefined : found;
    };
    const endpoint = find(primaryId);
    const helpers = helperShards.flatMap(shard => find(shard.endpointId) ?? []);
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
    permitAttempt: number,
): PromptPlacement | undefined {
    const nowMs = performance.now();
    const { engine } = exchange.service;
    const { localFailureDomain: localDomain } = context.directory;
    const permitsLeft = countLeft(exchange);
    const allLoads = listLoads(context, exchange.service.name, nowMs);
    const loads = selectWarm(
        allLoads.filter(load =>
            !excludedIds.includes(load.id)
            && isAvailable(context, load, permitsLeft)
            && (permitAttempt <= MAX_PERMIT_ATTEMPTS || !load.isRateLimited)
        ),
        permitAttempt,
    );
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
    options: Pick<
        StreamAttemptPlan,
        "isFinalAttempt" | "mayGoOnSilent" | "hasSilentAttempt" | "onFirstEvent" | "onGoesOn" | "onStarted"
    >,
): Promise<StreamAttemptResult> {
    const nowMs = performance.now();
    const prompt = describePrompt(exchange, nowMs);
    const assignments = buildAssignedWork(exchange.service.engine, prompt, chosen.placement)
        .map(work => context.assignmentRegistry.add(work, nowMs));
    chosen.settle();
    const stopMonitor = releaseIfUnresponsive(context, exchange, progress, chosen);
    const release = (): void => {
        stopMonitor();
        assignments.forEach(assignment => context.assignmentRegistry.remove(assignment.id));
        chosen.reservedMemory?.release();
    };
    let result: StreamAttemptResult | undefined;
    try {
        result = await runStreamAttempt(context, exchange, progress, {
            ...options,
            endpoint: chosen.endpoint,
            permitted: { endpoints: [chosen.endpoint, ...chosen.helpers], at: chosen.permittedAt },
            placement: chosen.placement,
            shardTargets: chosen.helpers.map(helper => {
                const reservation = chosen.reservedMemory?.reservations.find(each => each.endpoint === helper);
                return {
                    address: helper.entry.address,
                    ...(reservation === undefined ? {} : { reservationId: reservation.id }),
                };
            }),
            onFirstEvent: () => {
                options.onFirstEvent();
                assignments.forEach(assignment =>
                    context.assignmentRegistry.markPrefilled(assignment.id, performance.now())
                );
            },
        });
        return result;
    }
    finally {
        // The endpoint of a silent attempt may still be working on it.
        void (result?.kind === "silent" ? result.attempt.ended.then(release) : release());
    }
}

/** Releases the memory of the shards early if the endpoint that uses it has gone. Returns a function that stops this. */
function releaseIfUnresponsive(
    { protocol, log }: ForwardingContext,
    { requestId, response, route }: Exchange,
    progress: StreamProgress,
    { endpoint, reservedMemory }: ChosenEndpoints,
): () => void {
    if (reservedMemory === undefined) {
        return () => undefined;
    }
    const eventsBefore = progress.events;
    return monitorPrimary({
        probe: () => probeEndpoint(endpoint, protocol),
        hasStalled: createStallCheck({
            countEvents: () => progress.events - eventsBefore,
            isWaitingForCaller: () => response.writableNeedDrain,
            targetPauseMs: route.targetPauseMs,
        }),
        onUnresponsive: () => {
            log.warn(
                { request: requestId, endpoint: endpoint.entry.id },
                "reservations: primary endpoint unresponsive or its stream stalled, releasing the memory of its shards",
            );
            reservedMemory.release();
        },
    });
}
