/** HTTP middleware that applies the active fault of a stand-in to incoming requests. */
import { type HttpMiddleware, sendJson } from "@currantrill/http";
import type { Fault } from "@currantrill/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type FaultState, takeFault, waitUntilUnfrozen } from "../model/faultState.js";

type NextFunction = (error?: Error) => void;
type FaultHandler = (fault: Fault, response: ServerResponse, next: NextFunction, state: FaultState) => void;

const faultHandlers: Record<Fault["kind"], FaultHandler> = {
    outage: (_fault, response) => sendJson(response, 503, { error: "outage" }),
    slow: (fault, _response, next) => {
        setTimeout(next, fault.delayMs);
    },
    loseAnswers: (_fault, response, next) => {
        dropResponse(response);
        next();
    },
    // This fault applies to the connections that were open when it started; requests on new connections are served.
    silent: (_fault, _response, next) => next(),
    freeze: (_fault, _response, next, state) => {
        void waitUntilUnfrozen(state).then(() => next());
    },
};

/**
 * Creates the middleware. The fault is not applied to the paths in `exemptPaths`. A request on a suspended connection
 * (see `ConnectionSuspender`) is ignored on every path.
 */
export function createFaultMiddleware(
    state: FaultState,
    isSuspended: (request: IncomingMessage) => boolean,
    exemptPaths: ReadonlySet<string>,
): HttpMiddleware {
    return (request, response, next) => {
        if (isSuspended(request)) {
            // Simulates a request that was lost on the network: it is neither executed nor answered.
            return;
        }
        const fault = exemptPaths.has(request.path) ? undefined : takeFault(state, request.path);
        if (fault === undefined) {
            next();
            return;
        }
        faultHandlers[fault.kind](fault, response, next, state);
    };
}

/** Closes the connection instead of sending the response. */
function dropResponse(response: ServerResponse): void {
    response.write = () => true;
    response.end = (() => {
        response.socket?.destroy();
        return response;
    }) as ServerResponse["end"];
}
