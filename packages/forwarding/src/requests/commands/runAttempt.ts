/** One attempt of an exchange at an endpoint, including the checks on the response. */
import { measureElapsed, readClocks } from "@currantrill/protocol";
import {
    type AttemptFailure,
    type ResponseHeaders,
    type RunningAttempt,
    sendAttempt,
} from "../../endpoints/commands/sendAttempt.js";
import type { Connection } from "../../endpoints/model/connectionPool.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import {
    type EndpointHealth,
    markUnresponsive,
    recordFailure,
    recordOversizedResponse,
    recordResponse,
} from "../../endpoints/model/endpointHealth.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { PrefillShard, ResponseMetadata } from "../../ports/endpointProtocol.js";
import { recordNotice } from "../../warmup/commands/recordNotice.js";
import { isPermitCurrent, type PermittedEndpoints } from "../../warmup/queries/isPermitCurrent.js";
import type { AttemptOutcome, AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";
import { createRefusedResponse, type RefusedResponse } from "../model/refusedResponse.js";
import { checkAbandoned } from "./checkAbandoned.js";

/** What to send in an attempt, and how to report its result. */
export interface AttemptPlan {
    readonly endpoint: Endpoint;
    readonly record: AttemptRecord;
    /** Endpoints of the attempt and its shards. They are checked again before the first byte is sent. */
    readonly permitted: PermittedEndpoints;
    /** Endpoints that prefill further shards of the prompt. */
    readonly shardTargets?: readonly PrefillShard[];
    /** Id of the last event that the caller has received, if the stream is resumed. */
    readonly lastEventId?: number;
    /** See `AttemptRequest`. */
    readonly usesNewConnection: boolean;
    /** Called when the headers of a response to this request have arrived. */
    readonly onResponse: (status: number, headers: ResponseHeaders, metadata: ResponseMetadata) => void;
    /** Returns `false` if the body exceeds a limit, which ends the attempt as oversized. */
    readonly onData: (chunk: Buffer) => boolean;
    /** Called when the response, which belongs to the request, is complete according to its framing. */
    readonly onEnd: (isDelimited: boolean) => void;
    /** Called instead of `onEnd`. */
    readonly onFailure: (outcome: AttemptOutcome, failure: AttemptFailure) => void;
}

/** Effect of a failed attempt on the endpoint's health. */
const updateHealth: Readonly<Record<AttemptFailure, (health: EndpointHealth, nowMs: number) => EndpointHealth>> = {
    not_connected: markUnresponsive,
    no_resources: health => health,
    broken: recordFailure,
    path_lost: health => health,
    oversized: recordOversizedResponse,
    aborted: health => health,
};

/**
 * Longest time from the decision to send until the first byte, a little more than the time limit of a connection. After
 * a longer one the process was paused, and the request's headers and the choice of the endpoint are outdated.
 */
const MAX_SEND_DELAY_MS = 600;

/**
 * Statuses that guarantee the caller that its request has not run. An endpoint may answer with one of them although it
 * has run the request, or after another endpoint has, so they count only together with its statement.
 */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Largest status that HTTP defines. Smaller ones than 200 are no final responses, which the parser rejects. */
const MAX_STATUS = 599;

/** Refusals after which a connection is closed, so that the ids kept for it stay few. */
const MAX_REFUSED_IDS = 64;

/** Starts an attempt. Exactly one of `onEnd` and `onFailure` is called. */
export function runAttempt(context: ForwardingContext, exchange: Exchange, plan: AttemptPlan): RunningAttempt {
    const { endpoint, record } = plan;
    let refused: RefusedResponse | undefined;
    let mismatch: string | undefined;
    let hasEnded = false;
    let connection: Connection | undefined;
    const end = (outcome: AttemptOutcome, reason?: string): void => {
        hasEnded = true;
        refused?.close();
        const endedAfterMs = Math.round(performance.now() - exchange.startedAtMs);
        Object.assign(record, { outcome, endedAfterMs, ...(reason === undefined ? {} : { reason }) });
        context.metrics.attempts.inc({ outcome });
    };
    const handleResponse = (status: number, headers: ResponseHeaders): boolean => {
        const metadata = context.protocol.parseResponse(status, headers);
        mismatch = describeMismatch(exchange, status, metadata);
        if (mismatch !== undefined) {
            return false;
        }
        recordArrival(exchange, plan, metadata);
        const isStated = metadata.isNotExecuted || metadata.isMisdirected;
        if (isStated || notRunStatuses.has(status)) {
            const isCertain = isStated && isFirstRefusal(connection, metadata.requestId);
            const { abort } = attempt;
            refused = acceptRefusal(context, { exchange, endpoint, status, metadata, isStated, isCertain, abort });
            connection?.refusedIds.add(exchange.requestId);
            if (!isCertain || (connection?.refusedIds.size ?? 0) >= MAX_REFUSED_IDS) {
                attempt.abort(refused.reason);
            }
            return true;
        }
        plan.onResponse(status, headers, metadata);
        return true;
    };
    const handleFailure = (failure: AttemptFailure, error: Error): void => {
        if (hasEnded) {
            return;
        }
        const outcome = record.wasSent && refused?.isCertain !== true ? "unknown" : "not_run";
        const reason = refused?.reason ?? mismatch ?? error.message;
        endpoint.health = updateHealth[failure](endpoint.health, performance.now());
        end(outcome, reason);
        checkAbandoned(context, exchange, { endpoint, record, failure });
        plan.onFailure(outcome, failure);
    };
    let attempt: RunningAttempt;
    try {
        attempt = sendAttempt(endpoint.pool, {
            method: exchange.method,
            target: exchange.target,
            headers: buildHeaders(context, exchange, plan, performance.now()),
            body: exchange.body,
            usesNewConnection: plan.usesNewConnection,
        }, {
            canSend: createSendCheck(context, exchange, plan),
            onSent: used => {
                record.wasSent = true;
                recordMove(context, endpoint);
                connection = used;
            },
            onResponse: handleResponse,
            onData: chunk => refused === undefined ? plan.onData(chunk) : refused.add(chunk),
            onEnd: isDelimited => {
                if (refused !== undefined) {
                    end("not_run", refused.reason);
                    plan.onFailure("not_run", "aborted");
                    return;
                }
                end("answered");
                plan.onEnd(isDelimited);
            },
            onFailure: handleFailure,
        });
        return attempt;
    }
    catch (error) {
        // The HTTP client throws on invalid request headers before it sends anything.
        queueMicrotask(() => handleFailure("aborted", error as Error));
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    }
}

/**
 * Creates the last check before the first byte: what the attempt was based on may have changed since. All attempts of all
 * kinds of requests pass it.
 */
function createSendCheck(
    context: ForwardingContext,
    exchange: Exchange,
    { permitted }: AttemptPlan,
): () => boolean {
    const decidedAt = readClocks();
    return () =>
        measureElapsed(decidedAt, readClocks()) <= MAX_SEND_DELAY_MS && performance.now() < exchange.deadlineAtMs
        && checkEvacuations(context, permitted.endpoints)
        && !context.quarantine.isIsolated(exchange.tracked, exchange.trial?.entry)
        && isPermitCurrent(permitted, readClocks());
}

/** Returns whether no endpoint is in an evacuated domain. */
function checkEvacuations(
    { evacuations, metrics }: ForwardingContext,
    endpoints: PermittedEndpoints["endpoints"],
): boolean {
    const isEvacuated = endpoints.some(({ entry }) => evacuations.isEvacuated(entry.failureDomain));
    if (isEvacuated) {
        metrics.evacuationRequests.inc({ outcome: "stopped" });
    }
    return !isEvacuated;
}

/** Counts a request that is sent to another domain while the local one is evacuated. */
function recordMove({ directory, evacuations, metrics }: ForwardingContext, { entry }: Endpoint): void {
    const { localFailureDomain } = directory;
    if (entry.failureDomain !== localFailureDomain && evacuations.isEvacuated(localFailureDomain)) {
        metrics.evacuationRequests.inc({ outcome: "moved" });
    }
}

/**
 * Returns whether a refusal cannot be a copy of an earlier one: on a reused connection it has to name a request that has
 * not been refused there before. Callers may send a request again under its id, or use none.
 */
function isFirstRefusal(connection: Connection | undefined, requestId = ""): boolean {
    return connection === undefined || connection.requestCount <= 1
        || requestId !== "" && !connection.refusedIds.has(requestId);
}

/** Records the arrival of a response that belongs to the request. */
function recordArrival(exchange: Exchange, { endpoint, record }: AttemptPlan, metadata: ResponseMetadata): void {
    const nowMs = performance.now();
    record.respondedAfterMs = Math.round(nowMs - exchange.startedAtMs);
    endpoint.health = recordResponse(endpoint.health, nowMs);
    if (!metadata.isMisdirected) {
        record.requestsPerSecond = metadata.notice.requestsPerSecond;
        recordNotice(endpoint, metadata.notice, "request", readClocks());
    }
}

interface Refusal {
    readonly exchange: Exchange;
    readonly endpoint: Endpoint;
    readonly status: number;
    readonly metadata: ResponseMetadata;
    /** Whether the endpoint states that it did not run the request. */
    readonly isStated: boolean;
    /** Whether it states this, and certainly about this request. */
    readonly isCertain: boolean;
    readonly abort: RunningAttempt["abort"];
}

/** Begins to receive a refusal. A statement only changes health if it is certainly about this request. */
function acceptRefusal(
    context: ForwardingContext,
    { exchange, endpoint, status, metadata, isStated, isCertain, abort }: Refusal,
): RefusedResponse {
    // A condition of one caller says nothing about the endpoint that other callers use.
    const isAmbiguous = metadata.isMisdirected && exchange.isConditional;
    const reason = !isStated
        ? `status ${status} without a statement that the request was not run`
        : isAmbiguous
        ? `not executed, status ${status}: a condition of the caller, or the address belongs to another endpoint`
        : metadata.isMisdirected
        ? "address belongs to another endpoint"
        : `not executed, status ${status}`;
    if (isCertain && !isAmbiguous) {
        recordRefusalFault(context, endpoint, metadata);
    }
    else if (!isStated) {
        endpoint.health = recordFailure(endpoint.health, performance.now());
    }
    return createRefusedResponse({ reason, isCertain, onTimeout: () => abort(reason) });
}

/** Attributes a refusal to the endpoint at fault, which may be one that was to prefill a shard of the prompt. */
function recordRefusalFault(context: ForwardingContext, endpoint: Endpoint, metadata: ResponseMetadata): void {
    const namedEndpoint = metadata.faultAddress === undefined
        ? undefined
        : context.directory.findByAddress(metadata.faultAddress);
    const atFault = namedEndpoint ?? endpoint;
    if (metadata.isMisdirected) {
        context.directory.markMisdirected(atFault);
        return;
    }
    if (namedEndpoint !== undefined) {
        namedEndpoint.health = recordFailure(namedEndpoint.health, performance.now());
    }
}

function buildHeaders(context: ForwardingContext, exchange: Exchange, plan: AttemptPlan, nowMs: number): string[] {
    const added = context.protocol.buildHeaders({
        deadlineMs: Math.max(1, Math.floor(exchange.deadlineAtMs - nowMs)),
        endpointId: plan.endpoint.entry.id,
        ...(exchange.workspace === undefined ? {} : { workspace: exchange.workspace }),
        priority: exchange.priority,
        ...(plan.lastEventId === undefined ? {} : { lastEventId: plan.lastEventId }),
        prefillShards: plan.shardTargets ?? [],
    });
    return [...exchange.headers, ...Object.entries(added).flat()];
}

/** Describes why a response cannot belong to the request or cannot be forwarded; `undefined` for a valid response. */
function describeMismatch(exchange: Exchange, status: number, metadata: ResponseMetadata): string | undefined {
    if (status > MAX_STATUS) {
        return `status ${status}, which HTTP does not define`;
    }
    if (metadata.requestId !== undefined && metadata.requestId !== exchange.requestId) {
        return "response to another request";
    }
    if (metadata.isEncoded) {
        return "response body has a content encoding";
    }
    if (status < 300 && (!metadata.isSigned || metadata.requestId === undefined)) {
        return "successful response without signature or request id";
    }
    return undefined;
}
