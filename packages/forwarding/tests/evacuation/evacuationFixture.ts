/** Evacuations without a network: a registry, and a host whose endpoints are functions. */
import { createByteBudget } from "@currantrill/http";
import { type FailureDomainId, toFailureDomainId } from "@currantrill/protocol";
import bunyan from "bunyan";
import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { Route } from "../../src/configuration/model/servingConfiguration.js";
import type { ConnectionPool } from "../../src/endpoints/model/connectionPool.js";
import type { Endpoint } from "../../src/endpoints/model/endpointDirectory.js";
import { createEndpointObservationTable } from "../../src/endpoints/model/endpointObservation.js";
import { createEvacuationRegistry, type EvacuationRegistry } from "../../src/evacuation/model/evacuationRegistry.js";
import type { ForwardingContext } from "../../src/model/forwardingContext.js";
import { createForwardingMetrics } from "../../src/model/forwardingMetrics.js";
import { createAssignmentRegistry } from "../../src/placement/model/assignmentRegistry.js";
import type { PromptPlacement } from "../../src/placement/model/promptPlacement.js";
import type { DecodedEvacuation } from "../../src/ports/index.js";
import { createRequestIdentity } from "../../src/quarantine/model/requestIdentity.js";
import type { Exchange } from "../../src/requests/model/exchange.js";
import { createDirectory, directoryService, endpointIds } from "../directoryFixture.js";
import { engine } from "../engineFixture.js";
import { createRoute, decodeTestEvacuation, formatEvent, testProtocol } from "../hostFixture.js";

export interface TestRegistry {
    readonly registry: EvacuationRegistry;
    /** Domains for which `onReturn` has been called. */
    readonly returned: string[];
    /** Counts the log lines with a text. */
    readonly countLines: (text: string) => number;
}

export function createTestRegistry(): TestRegistry {
    const lines: string[] = [];
    const returned: string[] = [];
    const write = (record: unknown): void => void lines.push((record as { msg: string; }).msg);
    const log = bunyan.createLogger({ name: "test", streams: [{ type: "raw", stream: { write } }] });
    const registry = createEvacuationRegistry({
        rows: { decodeEvacuation: (key, value): DecodedEvacuation | undefined => decodeTestEvacuation(key, value) },
        log,
        onReturn: domain => returned.push(domain),
    });
    return { registry, returned, countLines: text => lines.filter(line => line.includes(text)).length };
}

/** What an endpoint does with a request: `break` ends the connection after the request was sent. */
export type Reaction = "answer" | "break" | "ignore";

export interface OfflineOptions {
    /** Failure domains of `e1` to `e4`, one letter each; that of the host is `a`. */
    readonly domains: string;
    readonly isSmallFleet?: boolean;
    /** Placement of the coordinator. */
    readonly placed?: Pick<PromptPlacement, "primaryId" | "helperShards">;
    /** Called when the connection for a request is ready, before the first byte. */
    readonly onConnected?: (id: string, target: string) => void;
    /** Called when a request has reached an endpoint. */
    readonly react?: (id: string) => Reaction;
}

export interface OfflineHost {
    readonly context: ForwardingContext;
    /** Endpoints and targets of the requests that were sent. */
    readonly sent: string[];
    readonly evacuate: (...domains: string[]) => void;
    readonly createExchange: (
        route?: Partial<Route>,
        promptTokens?: number,
    ) => Exchange & { readonly replies: number[]; };
}

export function createOfflineHost(options: OfflineOptions): OfflineHost {
    const { registry: evacuations } = createTestRegistry();
    const directory = createDirectory(options.domains, evacuations.isEvacuated);
    const sent: string[] = [];
    let version = 0;
    let lastReservation = 0;
    for (const id of endpointIds) {
        const endpoint = directory.get(id)!;
        Object.assign(endpoint, { pool: createOfflinePool(endpoint, sent, options) });
    }
    const context = {
        settings: {
            responses: { max_body_bytes: 10_000, max_event_bytes: 10_000, max_buffered_bytes: 10_000 },
            reservations: { free_ms: 2_000 },
        },
        log: bunyan.createLogger({ name: "test", streams: [] }),
        metrics: createForwardingMetrics(),
        callers: { buildResponseHeaders: () => ({}) },
        protocol: testProtocol,
        directory,
        evacuations,
        assignmentRegistry: createAssignmentRegistry(() => undefined),
        peerObservations: createEndpointObservationTable(),
        isSmallFleet: () => options.isSmallFleet ?? false,
        placePrompt: () =>
            Promise.resolve(
                options.placed === undefined ? undefined : {
                    placement: { firstEventMs: 1, backlogMs: 0, cost: 0, assignedCount: 0, ...options.placed },
                    settle: () => undefined,
                },
            ),
        permits: { hasRoom: () => true, acquire: () => Promise.resolve(true), getWaitMs: () => undefined },
        quarantine: {
            admit: () => Promise.resolve({ kind: "admitted" }),
            isIsolated: () => false,
            isSuspect: () => false,
            countCrashes: () => 0,
            reportBreak: () => Promise.resolve(false),
            track: () => ({ recordAnswer: () => undefined, recordSoundAnswer: () => undefined, end: () => undefined }),
        },
        retryBudget: { canSpend: () => true, spend: () => true, recordRequest: () => undefined },
        createReservationId: () => `r${lastReservation += 1}`,
    } as unknown as ForwardingContext;
    return {
        context,
        sent,
        evacuate: (...domains) =>
            evacuations.applyRows(domains.map(domain => ({
                key: `evacuate/${domain}`,
                version: version += 1,
                value: Buffer.from("{}"),
            }))),
        createExchange: (route = {}, promptTokens = 1_000) => {
            const replies: number[] = [];
            const startedAtMs = performance.now();
            return {
                requestId: "q1",
                method: "POST",
                target: "/r/x",
                headers: [],
                body: Buffer.alloc(0),
                isConditional: false,
                callerMetadata: { promptTokens },
                tracked: {
                    service: directoryService,
                    parts: [],
                    identity: createRequestIdentity({
                        method: "POST",
                        host: "desk.example",
                        target: "/r/x",
                        body: Buffer.alloc(0),
                    }),
                },
                response: createResponse(replies),
                responseBudget: createByteBudget(() => 10_000),
                route: createRoute(route),
                service: { name: directoryService, engine },
                priority: 1,
                configurationVersion: 1,
                receivedAtMs: startedAtMs,
                startedAtMs,
                deadlineAtMs: startedAtMs + 5_000,
                attempts: [],
                onDisconnect: undefined,
                hasEnded: false,
                onStop: () => undefined,
                replies,
            };
        },
    };
}

/** A response that records its status. */
function createResponse(replies: number[]): ServerResponse {
    const response = {
        headersSent: false,
        writeHead: (status: number) => {
            response.headersSent = true;
            replies.push(status);
        },
        ...Object.fromEntries(
            ["flushHeaders", "end", "on", "once", "off", "destroy"].map(name => [name, () => undefined]),
        ),
        write: () => true,
    };
    return response as unknown as ServerResponse;
}

/** A pool whose connections are ready at once and react as `options` say. */
function createOfflinePool({ entry }: Endpoint, sent: string[], options: OfflineOptions): ConnectionPool {
    const run = (path: string, handler: Dispatcher.DispatchHandler): void => {
        const controller = createController(error => handler.onResponseError?.(controller, error));
        options.onConnected?.(entry.id, path);
        handler.onRequestStart?.(controller, {});
        if (controller.aborted) {
            return;
        }
        sent.push(`${entry.id}${path === "/r/x" ? "" : path}`);
        const reaction = path === "/r/x" ? options.react?.(entry.id) ?? "answer" : "answer";
        if (reaction === "break") {
            handler.onResponseError?.(controller, new Error("reset"));
        }
        if (reaction === "answer") {
            const ids = path === "/r/x" ? { "t-id": "q1", "t-signature": entry.id } : {};
            const body = path === "/r/x" ? formatEvent(1) : "{}";
            handler.onResponseStart?.(controller, 200, { ...ids, "content-length": String(body.length) }, "");
            handler.onResponseData?.(controller, Buffer.from(body));
            handler.onResponseEnd?.(controller, {});
        }
    };
    const dispatch = ({ path }: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean => {
        queueMicrotask(() => run(path, handler));
        return true;
    };
    return {
        acquire: () => ({
            client: { dispatch } as never,
            socket: undefined,
            relay: undefined,
            checkEnd: () => Promise.resolve(false),
            isCut: () => false,
            lastReceivedAtMs: 0,
            hasSocketError: false,
            requestCount: 1,
            refusedIds: new Set(),
            onBytesReceived: undefined,
            onEnd: undefined,
        }),
        release: () => undefined,
        discard: () => undefined,
        discardIdle: () => undefined,
        discardUnusable: () => undefined,
        discardDirect: () => undefined,
        hasSilentDirect: () => false,
        close: () => undefined,
    };
}

function createController(onAbort: (error: Error) => void): Dispatcher.DispatchController {
    const controller = {
        aborted: false,
        paused: false,
        reason: null,
        rawHeaders: null,
        rawTrailers: null,
        abort: (error: Error) => {
            controller.aborted = true;
            queueMicrotask(() => onAbort(error));
        },
        pause: () => undefined,
        resume: () => undefined,
    };
    return controller;
}

export const toDomains = (letters: string): readonly FailureDomainId[] => Array.from(letters, toFailureDomainId);
