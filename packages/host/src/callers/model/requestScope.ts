/** What every part of the host that works on a request needs to know about it. */
import type { WorkspaceObject } from "@currantrill/core";
import type { Priority, RequestId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { CallerError } from "./callerError.js";

export interface RequestScope {
    readonly requestId: RequestId;
    readonly workspace: WorkspaceObject;
    readonly priority: Priority;
    /** Monotonic clock, in milliseconds. */
    readonly arrivedAtMs: number;
    readonly deadlineMs: number;
    /** Aborted with a `CallerError` at the deadline and when the caller closes the connection. */
    readonly signal: AbortSignal;
}

export interface RequestScopeOptions extends Omit<RequestScope, "signal" | "deadlineMs"> {
    readonly timeoutMs: number;
}

/** Creates the scope of a request. It ends with the response. */
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

/** Time until the deadline in milliseconds, at least 0. */
export const getRemainingMs = (scope: RequestScope): number => Math.max(0, scope.deadlineMs - performance.now());

/** Rejects with the scope's error when it ends. The returned function removes the listener. */
export function waitForScopeEnd(signal: AbortSignal): { ended: Promise<never>; release: () => void; } {
    let release = (): void => undefined;
    const ended = new Promise<never>((_resolve, reject) => {
        const listener = (): void => reject(signal.reason as Error);
        signal.addEventListener("abort", listener, { once: true });
        release = () => signal.removeEventListener("abort", listener);
        if (signal.aborted) {
            listener();
        }
    });
    // The promise may lose every race; its rejection is then of no interest.
    ended.catch(() => undefined);
    return { ended, release };
}
