import type { RequestKind } from "../../configuration/model/servingConfiguration.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Exchange } from "../model/exchange.js";
import { finishAtStop } from "./finishAtStop.js";
import { sendRefusal } from "./sendRefusal.js";
import { serveCall } from "./serveCall.js";
import { serveStream } from "./serveStream.js";

const serveByKind: Readonly<
    Record<RequestKind, (context: ForwardingContext, exchange: Exchange) => Promise<string>>
> = {
    repeatable: serveCall,
    once: serveCall,
    stream: serveStream,
};

/**
 * Serves a request. Resolves with the outcome when the caller has its response or can no longer get it. If its time limit ends
 * or the host stops while the request waits, such as for a permit, for memory or between two attempts, it gets its final
 * answer here. Running attempts react to both themselves.
 */
export async function serveExchange(context: ForwardingContext, exchange: Exchange): Promise<string> {
    let deadlineTimer: NodeJS.Timeout | undefined;
    const ended = new Promise<string>(resolve => {
        const endWith = (finish: () => string): void => {
            exchange.hasEnded = true;
            resolve(finish());
        };
        exchange.onStop = () => endWith(() => finishAtStop(context, exchange));
        deadlineTimer = setTimeout(() => {
            if (!isRunning(exchange)) {
                endWith(() => finishOutOfTime(context, exchange));
            }
        }, exchange.deadlineAtMs - performance.now());
    });
    try {
        return await Promise.race([serveByKind[exchange.route.kind](context, exchange), ended]);
    }
    finally {
        clearTimeout(deadlineTimer);
    }
}

const isRunning = ({ attempts }: Exchange): boolean => attempts.some(({ outcome }) => outcome === "pending");

function finishOutOfTime({ callers }: ForwardingContext, { requestId, response }: Exchange): string {
    sendRefusal(response, "out_of_time", callers.buildResponseHeaders(requestId));
    return "out_of_time";
}
