import { type JsonResponse, requestJson } from "@currantrill/http";
import { callerHeaders } from "@currantrill/protocol";

export interface DispatchOptions {
    /** URL of a host's callers' listener. */
    readonly url: string;
    readonly workspaceKey: string;
    /** Without a key the host refuses the call. */
    readonly idempotencyKey?: string;
    readonly body?: unknown;
    readonly timeoutMs?: number;
}

const defaultOptions = { body: { crate: "water mint", count: 1 }, timeoutMs: 30_000 };
const CALLER_MARGIN_MS = 5_000;

/** Sends the call of the demo service that must not be repeated. */
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
        timeoutMs: settings.timeoutMs + CALLER_MARGIN_MS,
    });
}
