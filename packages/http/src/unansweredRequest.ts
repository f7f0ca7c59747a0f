import type { IncomingMessage } from "node:http";
import { type CloseCause, getCloseCause } from "./closeConnection.js";

/** `receiving`: its body is incomplete. `waiting`: it waits for the requests before it. `in_progress`: a handler has it. */
export type RequestPhase = "receiving" | "waiting" | "in_progress";

/** A request whose connection has closed before its response had been sent in full. */
export interface UnansweredRequest {
    readonly request: IncomingMessage;
    readonly phase: RequestPhase;
    /** `client` if this process has not closed the connection. */
    readonly cause: CloseCause | "client";
}

/** Describes a request of a connection that has been closed. */
export const describeUnanswered = (request: IncomingMessage, hasBegun: boolean): UnansweredRequest => ({
    request,
    phase: !request.complete ? "receiving" : hasBegun ? "in_progress" : "waiting",
    cause: getCloseCause(request.socket) ?? "client",
});
