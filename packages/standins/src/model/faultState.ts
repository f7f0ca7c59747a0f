/** The fault that a stand-in currently shows. */
import type { Fault } from "@currantrill/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";

const SLOW_DELAY_MS = 400;

export interface FaultState {
    fault: Fault | undefined;
    untilMs: number;
}

type Next = (error?: Error) => void;
type FaultHandler = (request: IncomingMessage, response: ServerResponse, next: Next, state: FaultState) => void;

const faultHandlers: Record<Fault["kind"], FaultHandler> = {
    outage: (_request, response) => {
        response.writeHead(503, { "content-type": "application/json" });
        response.end(JSON.stringify({ error: "outage" }));
    },
    slow: (_request, _response, next) => {
        setTimeout(next, SLOW_DELAY_MS);
    },
    loseAnswers: (_request, response, next) => {
        // The request is executed; the connection closes in place of the answer.
        response.write = () => true;
        response.end = (() => {
            response.socket?.destroy();
            return response;
        }) as ServerResponse["end"];
        next();
    },
    silent: () => {
        // Neither an answer nor a close: the peer sees an open connection without a byte.
    },
    freeze: (_request, _response, next, state) => {
        setTimeout(next, Math.max(0, state.untilMs - Date.now()));
    },
};

/** Finds the fault in force, if any. */
export function getActiveFault(state: FaultState): Fault | undefined {
    return state.fault !== undefined && Date.now() < state.untilMs ? state.fault : undefined;
}

/** Starts a fault; a new one replaces the current one. */
export function startFault(state: FaultState, fault: Fault): void {
    state.fault = fault;
    state.untilMs = Date.now() + fault.durationMs;
}

/** Passes the request on, or lets the active fault act on it. */
export function handleFault(state: FaultState, request: IncomingMessage, response: ServerResponse, next: Next): void {
    const fault = getActiveFault(state);
    if (fault === undefined) {
        next();
        return;
    }
    faultHandlers[fault.kind](request, response, next, state);
}
