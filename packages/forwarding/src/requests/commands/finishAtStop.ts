import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Exchange } from "../model/exchange.js";
import { hasPossiblyRun } from "../queries/hasPossiblyRun.js";
import { closeResponse, sendRefusal } from "./sendRefusal.js";

/** Gives a request its final answer when the host stops, and returns the outcome. A stream that has begun is broken off. */
export function finishAtStop({ callers }: Pick<ForwardingContext, "callers">, exchange: Exchange): string {
    if (exchange.response.headersSent) {
        closeResponse(exchange.response, "stop");
        return "cut_at_stop";
    }
    const reason = hasPossiblyRun(exchange) ? "outcome_unknown" : "stopping";
    sendRefusal(exchange.response, reason, callers.buildResponseHeaders(exchange.requestId));
    return reason;
}
