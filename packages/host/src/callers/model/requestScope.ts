/** Identity, workspace, priority and deadline of a request, for all code of the host that works on it. */
import type { WorkspaceObject } from "@currantrill/core";
import type { Priority, RequestId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { CallerError } from "./callerError.js";

/** Data of one request. The scope ends at the deadline or when the caller disconnects. */
export interface RequestScope {
    readonly requestId: RequestId;
    readonly workspace: WorkspaceObject;
    readonly priority: Priority;
    /** Time of the monotonic clock in milliseconds, as is `deadlineMs`. */
    readonly arrivedAtMs: number;
    readonly deadlineMs: number;
    /** Aborted with a `CallerError` at the deadline and when the caller closes the connection. */
    readonly signal: AbortSignal;
}

export interface RequestScopeOptions extends Omit<RequestScope, "signal" | "deadlineMs"> {
    /** Time from `arrivedAtMs` to the deadline. */
    readonly timeoutMs: number;
}

/** Creates the scope of a request. Its deadline timer is cleared when the response closes. */
export function createRequestScope(options: RequestScopeOptions, response: ServerResponse): RequestScope {
    const { timeoutMs, ...rest } = options;
    const deadlineMs = options.arrivedAtMs + timeoutMs;
    const controller = new AbortController();
    const timer = setTimeout(
        () => controller.abort(new CallerError("timeout")),
        Math.max(0, deadlineMs - performance.now()),
    );
    response.once("close", () => {
        clearTimeout(timer);
        if (!response.writableFinished) {
            controller.abort(new CallerError("caller_closed"));
        }
    });
    return { ...rest, deadlineMs, signal: controller.signal };
}

/** Returns the time until the deadline in milliseconds, at least 0. */
export const getRemainingMs = (scope: RequestScope): number => Math.max(0, scope.deadlineMs - performance.now());

/**
 * Returns a promise that rejects with the abort reason when the signal is aborted, and a function that removes its
 * listener.
 */
export function waitForAbort(signal: AbortSignal): { ended: Promise<never>; release: () => void; } {
    let release = (): void => undefined;
    const ended = new Promise<never>((_resolve, reject) => {
        const listener = (): void => reject(signal.reason as Error);
        signal.addEventListener("abort", listener, { once: true });
        release = () => signal.removeEventListener("abort", listener);
        if (signal.aborted) {
            listener();
        }
    });
    // If the promise is only raced against other promises, a later rejection must not count as unhandled.
    ended.catch(() => undefined);
    return { ended, release };
}
