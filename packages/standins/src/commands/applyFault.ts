/** Lets the active fault act on a request. */
import { type HttpMiddleware, sendJson } from "@currantrill/http";
import type { Fault } from "@currantrill/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type FaultState, takeFault, waitForThaw } from "../model/faultState.js";

type Next = (error?: Error) => void;
type FaultHandler = (fault: Fault, response: ServerResponse, next: Next, state: FaultState) => void;

const faultHandlers: Record<Fault["kind"], FaultHandler> = {
    outage: (_fault, response) => sendJson(response, 503, { error: "outage" }),
    slow: (fault, _response, next) => {
        setTimeout(next, fault.delayMs);
    },
    loseAnswers: (_fault, response, next) => {
        dropAnswer(response);
        next();
    },
    // The connections that the fault acts on are marked when it starts.
    silent: (_fault, _response, next) => next(),
    freeze: (_fault, _response, next, state) => {
        void waitForThaw(state).then(() => next());
    },
};

/** Creates the middleware. Requests to a path in `exempt` are never affected. */
export function createFaultMiddleware(
    state: FaultState,
    isSilent: (request: IncomingMessage) => boolean,
    exempt: ReadonlySet<string>,
): HttpMiddleware {
    return (request, response, next) => {
        if (isSilent(request)) {
            // A request on a silent connection is lost on its way, so it is not executed either.
            return;
        }
        const fault = exempt.has(request.path) ? undefined : takeFault(state, request.path);
        if (fault === undefined) {
            next();
            return;
        }
        faultHandlers[fault.kind](fault, response, next, state);
    };
}

/** Closes the connection in place of the answer. */
function dropAnswer(response: ServerResponse): void {
    response.write = () => true;
    response.end = (() => {
        response.socket?.destroy();
        return response;
    }) as ServerResponse["end"];
}
