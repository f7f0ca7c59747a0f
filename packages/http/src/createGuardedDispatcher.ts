import type { Dispatcher } from "undici";

/** Decides immediately before the first byte whether a request may still be sent, and records that it is being sent. */
export interface SendGuard {
    /** Called once, immediately before the first byte is written. `false` aborts the request unsent. */
    admit(): boolean;
}

/** `name` of the error with which a request fails that its guard did not admit. */
export const SEND_NOT_ADMITTED = "SendNotAdmitted";

/**
 * Wraps a dispatcher for a single request with a guard. The request is sent at most once: if undici starts it again
 * after a connection failure, the second start is aborted.
 */
export function createGuardedDispatcher(dispatcher: Dispatcher, guard: SendGuard): Dispatcher {
    let wasSent = false;
    return dispatcher.compose(dispatch => (options, handler) =>
        dispatch(options, {
            ...forwardEvents(handler),
            onRequestStart: (controller, context) => {
                if (wasSent || !guard.admit()) {
                    controller.abort(createNotAdmittedError());
                    return;
                }
                wasSent = true;
                handler.onRequestStart?.(controller, context);
            },
        })
    );
}

const forwardEvents = (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler => ({
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
});

function createNotAdmittedError(): Error {
    const error = new Error("the request was not admitted and aborted before its first byte");
    error.name = SEND_NOT_ADMITTED;
    return error;
}
