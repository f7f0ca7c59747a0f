import { type JsonResponse, requestJson } from "@currantrill/http";
import { callerHeaders } from "@currantrill/protocol";

export interface DispatchOptions {
    /** URL of the listener for callers of a host. */
    readonly url: string;
    readonly workspaceKey: string;
    /** Without a key the host refuses the call. */
    readonly idempotencyKey?: string;
    readonly body?: unknown;
    /** Timeout that the request states to the host. */
    readonly timeoutMs?: number;
}

const defaultOptions = { body: { crate: "water mint", count: 1 }, timeoutMs: 30_000 };
/** Additional time after the request's timeout until the caller aborts the request. */
const CALLER_TIMEOUT_MARGIN_MS = 5_000;

/** Sends the non-idempotent call of the demo service, which must be executed at most once per idempotency key. */
export function sendDispatch(options: DispatchOptions): Promise<JsonResponse> {
    const settings = { ...defaultOptions, ...options };
    return requestJson(`${settings.url}/services/orders/dispatch`, {
        method: "POST",
        headers: {
            [callerHeaders.authorization]: `Bearer ${settings.workspaceKey}`,
            [callerHeaders.timeout]: String(settings.timeoutMs),
            ...(settings.idempotencyKey === undefined
                ? {}
                : { [callerHeaders.idempotencyKey]: settings.idempotencyKey }),
        },
        body: settings.body,
        timeoutMs: settings.timeoutMs + CALLER_TIMEOUT_MARGIN_MS,
    });
}
