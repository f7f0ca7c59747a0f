import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Exchange } from "../model/exchange.js";
import type { StreamProgress } from "../model/streamAttempt.js";
import { createStreamOutput } from "../model/streamOutput.js";

/** Creates the progress of a stream of which the caller has nothing yet. */
export const createStreamProgress = ({ settings }: ForwardingContext, exchange: Exchange): StreamProgress => ({
    output: createStreamOutput({
        response: exchange.response,
        maxBytes: settings.responses.max_body_bytes,
        budget: exchange.responseBudget,
    }),
    lastEventId: exchange.callerMetadata.lastEventId,
    hasSentHeaders: false,
    events: 0,
});
