/** Requests to one service of the platform, shared by its clients. */
import { createConnections, isNotConnected, type JsonResponse, requestJson } from "@currantrill/http";
import PQueue from "p-queue";
import { type BackoffOptions, createBackoff } from "../model/backoff.js";
import { createStoreError } from "../model/storeError.js";

export interface PlatformClientOptions {
    readonly url: string;
    /** Limit on one request with its retries, in milliseconds. */
    readonly timeoutMs?: number;
    /** Requests of this host that run at the same time; further ones wait. */
    readonly maxConcurrent?: number;
    readonly backoff?: BackoffOptions;
}

const defaultOptions = { timeoutMs: 1_000, maxConcurrent: 64, backoff: {} } satisfies Partial<PlatformClientOptions>;

const RATE_LIMITED = 429;
const RATE_LIMIT_WAIT_MS = 20;
/** The service answers these without executing the request. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([RATE_LIMITED, 503]);

export interface PlatformRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    /** Path and query below the platform's URL. */
    readonly path: string;
    readonly body?: unknown;
    /** Limit on this request in place of the client's, such as for one that waits at the service. */
    readonly timeoutMs?: number;
}

/** Sends a request. Rejects with `StoreUnavailable` or `StoreAnswerLost`. */
export type PlatformRequester = (request: PlatformRequest) => Promise<JsonResponse>;

/** Creates a requester with its own connections, backoff and limit on concurrency. */
export function createPlatformRequester(options: PlatformClientOptions): PlatformRequester {
    const settings = { ...defaultOptions, ...options };
    const connections = createConnections(settings.url);
    const backoff = createBackoff(settings.backoff);
    const queue = new PQueue({ concurrency: settings.maxConcurrent });

    const sendOnce = async (request: PlatformRequest, deadlineMs: number): Promise<JsonResponse> => {
        if (performance.now() >= deadlineMs) {
            throw createStoreError("StoreUnavailable", "the request waited too long behind others to the platform");
        }
        if (!backoff.admit(performance.now())) {
            throw createStoreError("StoreUnavailable", "the platform fails; the next try waits for its backoff");
        }
        try {
            const response = await requestJson(`${settings.url}${request.path}`, {
                method: request.method,
                ...(request.body === undefined ? {} : { body: request.body }),
                timeoutMs: Math.max(1, Math.ceil(deadlineMs - performance.now())),
                dispatcher: connections.getDispatcher(),
            });
            recordStatus(response.status);
            return response;
        }
        catch (error) {
            backoff.recordFailure(performance.now());
            connections.renew();
            const isUnexecuted = request.method === "GET" || isNotConnected(error);
            throw createStoreError(
                isUnexecuted ? "StoreUnavailable" : "StoreAnswerLost",
                `no answer from the platform to ${request.method} ${request.path}`,
                error,
            );
        }
    };

    const recordStatus = (status: number): void => {
        if (status === 503) {
            backoff.recordFailure(performance.now());
            return;
        }
        backoff.recordSuccess();
    };

    return request => {
        const deadlineMs = performance.now() + (request.timeoutMs ?? settings.timeoutMs);
        return queue.add(async () => {
            for (let attempt = 1;; attempt += 1) {
                const response = await sendOnce(request, deadlineMs);
                if (!REFUSED_STATUSES.has(response.status)) {
                    return response;
                }
                const waitMs = RATE_LIMIT_WAIT_MS * 2 ** attempt * (0.5 + Math.random());
                if (response.status !== RATE_LIMITED || performance.now() + waitMs >= deadlineMs) {
                    throw createStoreError("StoreUnavailable", `the platform answered ${response.status}`);
                }
                await new Promise(resolve => setTimeout(resolve, waitMs));
            }
        });
    };
}
