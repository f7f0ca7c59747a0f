/** HTTP requests to one platform service, with retries, backoff and a concurrency limit. */
import { createHttpConnectionPool, isConnectError, type JsonResponse, requestJson } from "@currantrill/http";
import PQueue from "p-queue";
import { type BackoffOptions, createBackoff } from "../model/backoff.js";
import { createStoreError } from "../model/storeError.js";

export interface PlatformClientOptions {
    /** Base URL of the platform service. */
    readonly url: string;
    /** Time limit of one request including its queue time and retries, in milliseconds. */
    readonly timeoutMs?: number;
    /** Maximum number of concurrent requests of this client; further ones are queued. */
    readonly maxConcurrent?: number;
    readonly backoff?: BackoffOptions;
}

const defaultOptions = { timeoutMs: 1_000, maxConcurrent: 64, backoff: {} } satisfies Partial<PlatformClientOptions>;

const RATE_LIMITED = 429;
/** Base of the exponential, jittered wait before a rate-limited request is retried. */
const RATE_LIMIT_BASE_WAIT_MS = 20;
/** Statuses with which the service refuses a request without executing it. */
const UNEXECUTED_STATUSES: ReadonlySet<number> = new Set([RATE_LIMITED, 503]);

export interface PlatformRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    /** Path and query, appended to the base URL. */
    readonly path: string;
    readonly body?: unknown;
    /** Time limit that overrides the client's, such as for a long-polling request. */
    readonly timeoutMs?: number;
}

/**
 * Sends a request and retries it while the service rate-limits it. Rejects with `StoreUnavailable` if the request was
 * not executed, and with `StoreAnswerLost` if it may have been.
 */
export type PlatformRequester = (request: PlatformRequest) => Promise<JsonResponse>;

/** Creates a requester with a separate connection pool, backoff and concurrency limit. */
export function createPlatformRequester(options: PlatformClientOptions): PlatformRequester {
    const settings = { ...defaultOptions, ...options };
    const connections = createHttpConnectionPool(settings.url);
    const backoff = createBackoff(settings.backoff);
    const queue = new PQueue({ concurrency: settings.maxConcurrent });

    const sendOnce = async (request: PlatformRequest, deadlineMs: number): Promise<JsonResponse> => {
        if (performance.now() >= deadlineMs) {
            throw createStoreError(
                "StoreUnavailable",
                "the platform request timed out in the queue before it was sent",
            );
        }
        if (!backoff.admit(performance.now())) {
            throw createStoreError(
                "StoreUnavailable",
                "platform requests are suspended until the backoff after repeated failures has elapsed",
            );
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
            const isUnexecuted = request.method === "GET" || isConnectError(error);
            throw createStoreError(
                isUnexecuted ? "StoreUnavailable" : "StoreAnswerLost",
                `no response from the platform to ${request.method} ${request.path}`,
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
                if (!UNEXECUTED_STATUSES.has(response.status)) {
                    return response;
                }
                const waitMs = RATE_LIMIT_BASE_WAIT_MS * 2 ** attempt * (0.5 + Math.random());
                if (response.status !== RATE_LIMITED || performance.now() + waitMs >= deadlineMs) {
                    throw createStoreError(
                        "StoreUnavailable",
                        `the platform refused the request with status ${response.status}`,
                    );
                }
                await new Promise(resolve => setTimeout(resolve, waitMs));
            }
        });
    };
}
