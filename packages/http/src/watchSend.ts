import type { Dispatcher } from "undici";

/** Decides at the last moment whether a request may be sent, and learns that its first byte is about to be written. */
export interface SendWatch {
    /** Called once, immediately before the first byte. `false` gives the request up unsent. */
    admit(): boolean;
}

/** Name of the error of a request that its guard did not admit. */
export const SEND_NOT_ADMITTED = "SendNotAdmitted";

/** Wraps a dispatcher for one request. The request is sent at most once, even if its connection breaks early. */
export function watchSend(dispatcher: Dispatcher, guard: SendWatch): Dispatcher {
    let wasSent = false;
    return dispatcher.compose(dispatch => (options, handler) =>
        dispatch(options, {
            ...forwardEvents(handler),
            onRequestStart: (controller, context) => {
                if (wasSent || !guard.admit()) {
                    controller.abort(createNotAdmitted());
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

function createNotAdmitted(): Error {
    const error = new Error("the request was given up before its first byte");
    error.name = SEND_NOT_ADMITTED;
    return error;
}
