/** Serves requests whose answer is a series of events. */
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Booking } from "../../placement/model/booking.js";
import type { EndpointLoad } from "../../placement/model/endpointLoad.js";
import { defaultPlacementWeights } from "../../placement/model/placementWeights.js";
import { choosePlacement, type Placement } from "../../placement/queries/choosePlacement.js";
import { chooseServer } from "../../placement/queries/chooseServer.js";
import { estimateReadMs } from "../../placement/queries/estimateEngine.js";
import { selectCandidates } from "../../placement/queries/selectCandidates.js";
import { type HeldParts, reserveParts } from "../../reservations/commands/reserveParts.js";
import type { Exchange } from "../model/exchange.js";
import { listLoads, type LoadOfEndpoint } from "../queries/listLoads.js";
import { runStreamAttempt, type StreamEnd, type StreamProgress } from "./runStreamAttempt.js";
import { type RefusalReason, sendRefusal } from "./sendRefusal.js";

/** Endpoints that are tried while none has accepted a connection. */
const MAX_CONNECT_TRIES = 4;
/** Placements that are tried while their reservations are not granted. */
const MAX_RESERVE_TRIES = 3;
/** Prompt length that is assumed where the caller names none. */
const DEFAULT_PROMPT_TOKENS = 1_000;

interface ChosenEndpoints {
    readonly endpoint: Endpoint;
    readonly placement?: Placement;
    readonly held?: HeldParts;
}

/** Serves a stream. Resolves with the outcome when the caller has the whole answer, or cannot get it any more. */
export async function serveStream(context: ForwardingContext, exchange: Exchange): Promise<string> {
    const progress: StreamProgress = {
        lastEventId: exchange.facts.lastEventId,
        hasBegun: false,
        events: 0,
    };
    const tried = new Set<Endpoint>();
    let sends = 0;
    let connectTries = 0;
    let mayHaveRun = false;
    for (;;) {
        if (sends > 0 && !context.budget.spend(exchange.service.name, performance.now())) {
            context.log.warn({ request: exchange.requestId }, "requests: retry budget used up");
            return endWithoutAnswer(context, exchange, mayHaveRun ? "outcome_unknown" : "not_run");
        }
        const chosen = await chooseEndpoints(context, exchange, tried);
        if (exchange.isGone) {
            chosen?.held?.release();
            return "caller_gone";
        }
        if (chosen === undefined) {
            const reason = mayHaveRun ? "outcome_unknown" : tried.size === 0 ? "no_endpoint" : "not_run";
            return endWithoutAnswer(context, exchange, reason);
        }
        tried.add(chosen.endpoint);
        const isLast = sends + 1 >= exchange.route.attempts || !exchange.route.canResume;
        const end = await runBooked(context, exchange, progress, chosen, isLast);
        if (!("wasSent" in end)) {
            return end.kind === "out_of_time" ? endWithoutAnswer(context, exchange, end.kind) : end.kind;
        }
        mayHaveRun ||= end.kind === "broken";
        if (end.wasSent) {
            sends += 1;
        }
        else {
            connectTries += 1;
        }
        const mayTryAgain = (exchange.route.canResume || !mayHaveRun)
            && sends < exchange.route.attempts
            && connectTries < MAX_CONNECT_TRIES;
        if (!mayTryAgain) {
            return endWithoutAnswer(context, exchange, mayHaveRun ? "outcome_unknown" : "not_run");
        }
    }
}

function endWithoutAnswer(context: ForwardingContext, exchange: Exchange, reason: RefusalReason): string {
    sendRefusal(exchange.response, reason, context.callers.buildAnswerHeaders(exchange.requestId));
    return reason;
}

/** Chooses where the stream runs, with the reservations that its parts need. */
async function chooseEndpoints(
    context: ForwardingContext,
    exchange: Exchange,
    tried: ReadonlySet<Endpoint>,
): Promise<ChosenEndpoints | undefined> {
    const refusing = new Set<EndpointLoad["id"]>();
    for (let attempt = 1;; attempt += 1) {
        const nowMs = performance.now();
        const all = listLoads(context, exchange.service.name, nowMs);
        const candidates = context.isSmallFleet() ? all : selectCandidates(all, context.directory.ownDomain);
        const isUntried = (load: LoadOfEndpoint): boolean => !tried.has(load.endpoint) && !refusing.has(load.id);
        const loads = all.filter(isUntried);
        const placement = planStream(context, exchange, candidates.filter(isUntried), nowMs)
            ?? planStream(context, exchange, loads, nowMs);
        const endpoint = loads.find(load => load.id === placement?.first.id)?.endpoint;
        if (placement === undefined || endpoint === undefined) {
            return undefined;
        }
        const needs = listReservationNeeds(loads, placement);
        if (needs.length === 0) {
            return { endpoint, placement };
        }
        const held = await reserveParts(context, needs);
        if (held !== undefined) {
            return { endpoint, placement, held };
        }
        if (attempt >= MAX_RESERVE_TRIES || exchange.isGone || performance.now() >= exchange.endsAtMs) {
            return undefined;
        }
        needs.forEach(need => refusing.add(need.endpoint.entry.id));
    }
}

function listReservationNeeds(
    loads: readonly LoadOfEndpoint[],
    placement: Placement,
): { endpoint: Endpoint; tokens: number; }[] {
    return placement.parts.flatMap(part => {
        const endpoint = loads.find(load => load.id === part.load.id)?.endpoint;
        return endpoint === undefined || part.reserveTokens === 0 ? [] : [{ endpoint, tokens: part.reserveTokens }];
    });
}

function planStream(
    context: ForwardingContext,
    exchange: Exchange,
    loads: readonly LoadOfEndpoint[],
    nowMs: number,
): Placement | undefined {
    const { engine } = exchange.service;
    const { ownDomain } = context.directory;
    if (engine === undefined) {
        const first = chooseServer(loads, ownDomain, Math.random());
        return first === undefined ? undefined : { first, parts: [], firstEventMs: 0, backlogMs: 0, cost: 0 };
    }
    return choosePlacement({ engine, ownDomain, nowMs, weights: defaultPlacementWeights }, loads, {
        promptTokens: exchange.facts.promptTokens ?? DEFAULT_PROMPT_TOKENS,
        answerTokens: exchange.facts.answerTokens ?? engine.usualAnswerTokens,
        targetMs: exchange.route.targetMs - (nowMs - exchange.startedAtMs),
        targetPauseMs: exchange.route.targetPauseMs,
    });
}

/** Runs one attempt with its bookings in the ledger. */
async function runBooked(
    context: ForwardingContext,
    exchange: Exchange,
    progress: StreamProgress,
    chosen: ChosenEndpoints,
    isLast: boolean,
): Promise<StreamEnd> {
    const bookings = addBookings(context, exchange, chosen);
    try {
        return await runStreamAttempt(context, exchange, progress, {
            endpoint: chosen.endpoint,
            isLast,
            ...(chosen.placement === undefined ? {} : { placement: chosen.placement }),
            parts: (chosen.placement?.parts ?? []).map(part => {
                const held = chosen.held?.reservations.find(each => each.endpoint.entry.id === part.load.id);
                return { address: part.load.address, ...(held === undefined ? {} : { reservationId: held.id }) };
            }),
            onFirstEvent: () => bookings.forEach(booking => context.ledger.markRead(booking.id, performance.now())),
        });
    }
    finally {
        bookings.forEach(booking => context.ledger.remove(booking.id));
        chosen.held?.release();
    }
}

function addBookings(context: ForwardingContext, exchange: Exchange, chosen: ChosenEndpoints): readonly Booking[] {
    const nowMs = performance.now();
    const promptTokens = exchange.facts.promptTokens ?? DEFAULT_PROMPT_TOKENS;
    const { engine } = exchange.service;
    const parts = chosen.placement?.parts ?? [];
    const count = parts.length + 1;
    const readMs = engine === undefined ? 0 : estimateReadMs(engine, promptTokens, count);
    const reserved = parts.reduce((sum, part) => sum + part.reserveTokens, 0);
    const answerTokens = exchange.facts.answerTokens ?? engine?.usualAnswerTokens ?? 0;
    const common = {
        readTokens: Math.ceil(promptTokens / count),
        parts: count,
        readMs,
        targetMs: exchange.route.targetMs - (nowMs - exchange.startedAtMs),
        targetPauseMs: exchange.route.targetPauseMs,
    };
    const first = {
        ...common,
        endpointId: chosen.endpoint.entry.id,
        memoryTokens: Math.max(0, promptTokens - reserved) + answerTokens,
        isPart: false,
    };
    const others = parts.map(part => ({
        ...common,
        endpointId: part.load.id,
        memoryTokens: part.reserveTokens,
        isPart: true,
    }));
    return [first, ...others].map(work => context.ledger.add(work, nowMs));
}
