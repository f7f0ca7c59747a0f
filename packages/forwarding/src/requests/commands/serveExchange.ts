import type { RequestKind } from "../../configuration/model/servingConfiguration.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Exchange } from "../model/exchange.js";
import { finishAtStop } from "./finishAtStop.js";
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
 * Serves a request. Resolves with the outcome when the caller has its response or can no longer get it. If the host stops
 * while the request waits, such as for a permit, for memory or between two attempts, it gets its final answer here.
 */
export function serveExchange(context: ForwardingContext, exchange: Exchange): Promise<string> {
    const stopped = new Promise<string>(resolve => {
        exchange.onStop = () => {
            exchange.hasEnded = true;
            resolve(finishAtStop(context, exchange));
        };
    });
    return Promise.race([serveByKind[exchange.route.kind](context, exchange), stopped]);
}
