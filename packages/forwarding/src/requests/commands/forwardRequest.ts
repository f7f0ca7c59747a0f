/** Handles a caller's request from its arrival to its response: routing, authorization, serving and the request log. */
import type { ByteBudget, HttpRequest } from "@currantrill/http";
import type { ServerResponse } from "node:http";
import type { ConfigurationIndex } from "../../configuration/model/configurationIndex.js";
import { checkAuthorization } from "../../configuration/queries/checkAuthorization.js";
import { chooseService, matchRoute, parseHostName } from "../../configuration/queries/matchRoute.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import { createRequestIdentity } from "../../quarantine/model/requestIdentity.js";
import { getRequestDigest, getSuspectKind, type SuspectId, type SuspectKind } from "../../quarantine/model/suspect.js";
import { selectTrackedParts } from "../../quarantine/queries/selectTrackedParts.js";
import type { Exchange } from "../model/exchange.js";
import { canBeAnswered, estimateAnswerMs } from "../queries/canAnswerInTime.js";
import { hasPossiblyRun } from "../queries/hasPossiblyRun.js";
import { selectRequestHeaders } from "../queries/selectHeaders.js";
import { endAdmission } from "./admitExchange.js";
import { type RefusalReason, sendRefusal } from "./sendRefusal.js";
import { serveExchange } from "./serveExchange.js";

/** Outcomes of requests that endpoints have answered. */
const answeredOutcomes: ReadonlySet<string> = new Set(["answered", "complete"]);

/**
 * Memory of a request in progress: its record, timers, and the connection to the endpoint. With it, one request on each
 * connection that the smallest host may have (765) fits into its budget.
 */
const EXCHANGE_BYTES = 24 * 1024;
/** The blocks of a response and the whole body that replaces them exist side by side until the runtime has collected them. */
const RESPONSE_COPIES = 2;

const countCopies = (payer: ByteBudget): ByteBudget => ({
    take: bytes => payer.take(bytes * RESPONSE_COPIES),
    give: bytes => payer.give(bytes * RESPONSE_COPIES),
    getUsed: payer.getUsed,
});

/** Limit on the shared parts of a prompt in its log line. */
const MAX_LOGGED_PARTS = 16;

/** Serves a request whose body has been received. An internal error ends in a refusal. */
export async function forwardRequest(
    context: ForwardingContext,
    request: HttpRequest,
    response: ServerResponse,
): Promise<void> {
    if (context.shutdown !== undefined && !request.isFollowed()) {
        response.setHeader("connection", "close");
    }
    const index = context.getConfiguration();
    const exchange = index === undefined ? "no_configuration" : createExchange(context, index, request, response);
    if (typeof exchange === "string") {
        refuseRequest(context, request, response, { reason: exchange, index });
        return;
    }
    if (!canBeAnswered(context, exchange)) {
        const expectedMs = Math.round(estimateAnswerMs(context, exchange));
        const afterStopMs = computeAfterStopMs(context, exchange);
        refuseRequest(context, request, response, { reason: "stopping", index, fields: { expectedMs, afterStopMs } });
        return;
    }
    const payer = request.pay("request");
    if (!payer.take(EXCHANGE_BYTES)) {
        refuseRequest(context, request, response, { reason: "no_memory", index });
        return;
    }
    response.once("close", () => payer.give(EXCHANGE_BYTES));
    context.retryBudget.recordRequest(exchange.service.name, exchange.startedAtMs);
    context.exchanges.add(exchange);
    context.metrics.inFlight.set(context.exchanges.size);
    response.once("close", () => {
        if (!response.writableEnded) {
            exchange.hasEnded = true;
            exchange.onDisconnect?.();
        }
    });
    try {
        logExchange(context, exchange, await serveExchange(context, exchange));
    }
    catch (error) {
        context.log.error({ err: error, request: exchange.requestId }, "requests: internal error");
        const reason = hasPossiblyRun(exchange) ? "outcome_unknown" : "not_run";
        sendRefusal(response, reason, context.callers.buildResponseHeaders(exchange.requestId));
        logExchange(context, exchange, reason);
    }
    finally {
        endAdmission(context, exchange);
        context.exchanges.delete(exchange);
        context.metrics.inFlight.set(context.exchanges.size);
    }
}

function createExchange(
    context: ForwardingContext,
    index: ConfigurationIndex,
    request: HttpRequest,
    response: ServerResponse,
): Exchange | RefusalReason {
    const target = request.url ?? "/";
    const route = matchRoute(index, request.headers.host ?? "", target);
    if (route === undefined) {
        return "no_route";
    }
    const callerMetadata = context.callers.parseHeaders(request.headers);
    const authorization = checkAuthorization(index, route, callerMetadata.authorization);
    if (!authorization.allowed) {
        return "key_unknown";
    }
    const serviceName = chooseService(route, Math.random());
    const service = serviceName === undefined ? undefined : index.services.get(serviceName);
    if (service === undefined) {
        return "no_endpoint";
    }
    const startedAtMs = performance.now();
    const method = request.method ?? "GET";
    const body = request.body as Buffer;
    const workspace = authorization.workspace === undefined ? {} : { workspace: authorization.workspace };
    return {
        requestId: callerMetadata.requestId ?? "",
        method,
        target,
        headers: selectRequestHeaders(request.rawHeaders, context.protocol.reservedHeaders),
        body,
        isConditional: Object.keys(request.headers).some(name => context.protocol.conditionHeaders.has(name)),
        callerMetadata,
        tracked: {
            service: service.name,
            parts: selectTrackedParts(callerMetadata.sharedParts),
            identity: createRequestIdentity({
                method,
                host: parseHostName(request.headers.host ?? ""),
                target,
                body,
                ...workspace,
            }),
        },
        response,
        responseBudget: countCopies(request.pay("response")),
        route,
        service,
        ...workspace,
        priority: authorization.priority,
        configurationVersion: index.configuration.version,
        receivedAtMs: request.receivedAtMs,
        startedAtMs,
        deadlineAtMs: startedAtMs + Math.min(callerMetadata.deadlineMs ?? Infinity, route.timeoutMs),
        attempts: [],
        onDisconnect: undefined,
        hasEnded: false,
        onStop: () => undefined,
    };
}

interface UnservedRequest {
    readonly reason: RefusalReason;
    readonly index: ConfigurationIndex | undefined;
    /** Further inputs of the decision, for the log. */
    readonly fields?: Readonly<Record<string, unknown>>;
}

/** Returns when a request had arrived in full, counted from the stop signal, in milliseconds. */
const computeAfterStopMs = ({ shutdown }: ForwardingContext, { startedAtMs }: Exchange): number | undefined =>
    shutdown === undefined ? undefined : Math.round(startedAtMs - shutdown.startedAtMs);

function refuseRequest(
    context: ForwardingContext,
    request: HttpRequest,
    response: ServerResponse,
    { reason, index, fields = {} }: UnservedRequest,
): void {
    const { requestId = "" } = context.callers.parseHeaders(request.headers);
    const status = sendRefusal(response, reason, context.callers.buildResponseHeaders(requestId));
    context.metrics.requests.inc({ kind: "unrouted", outcome: reason });
    context.log.info(
        {
            request: requestId,
            host: request.headers.host,
            target: request.url,
            configuration: index?.configuration.version,
            status,
            outcome: reason,
            ...fields,
        },
        "requests: refused",
    );
}

const isolationFields: Readonly<Record<SuspectKind, (suspect: SuspectId) => object>> = {
    part: suspect => ({ isolatedPart: suspect }),
    request: suspect => ({ isolatedRequest: getRequestDigest(suspect) }),
};

/** Returns the log field that names what a request was refused for. */
const describeIsolated = (suspect: SuspectId | undefined): object =>
    suspect === undefined ? {} : isolationFields[getSuspectKind(suspect)](suspect);

function logExchange(context: ForwardingContext, exchange: Exchange, outcome: string): void {
    const { route, attempts } = exchange;
    const durationMs = Math.round(performance.now() - exchange.startedAtMs);
    context.metrics.requests.inc({ kind: route.kind, outcome });
    const firstAfterMs = attempts.find(attempt => attempt.firstAfterMs !== undefined)?.firstAfterMs;
    const { answerTokens } = exchange.callerMetadata;
    if (answeredOutcomes.has(outcome)) {
        context.routeDurations.record(route.name, {
            durationMs,
            ...(firstAfterMs === undefined ? {} : { firstEventMs: firstAfterMs }),
            ...(answerTokens === undefined ? {} : { answerTokens }),
        });
    }
    context.metrics.requestSeconds.observe({ kind: route.kind }, durationMs / 1_000);
    if (firstAfterMs !== undefined) {
        context.metrics.firstEventSeconds.observe({ route: route.name }, firstAfterMs / 1_000);
    }
    context.log.info(
        {
            request: exchange.requestId,
            route: route.name,
            service: exchange.service.name,
            workspace: exchange.workspace,
            kind: route.kind,
            promptTokens: exchange.callerMetadata.promptTokens,
            answerTokens: exchange.callerMetadata.answerTokens,
            sharedParts: exchange.callerMetadata.sharedParts?.slice(0, MAX_LOGGED_PARTS),
            ...describeIsolated(exchange.isolatedSuspect),
            requestDigest: exchange.tracked.identity.getKnownDigest(),
            configuration: exchange.configurationVersion,
            attempts,
            status: exchange.response.statusCode,
            outcome,
            durationMs,
            // How long its body took to arrive, and when it had arrived in full, counted from the stop signal.
            receivedMs: Math.round(exchange.startedAtMs - exchange.receivedAtMs),
            afterStopMs: computeAfterStopMs(context, exchange),
        },
        "requests: ended",
    );
}
