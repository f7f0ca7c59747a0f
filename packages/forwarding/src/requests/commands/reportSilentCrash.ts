import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Exchange } from "../model/exchange.js";
import type { SilentAttempt } from "../model/streamAttempt.js";
import { checkCrash } from "./checkCrash.js";

/** Reports the crash of a silent endpoint under an attempt beside which the stream has gone on. */
export async function reportSilentCrash(
    context: ForwardingContext,
    exchange: Exchange,
    endpoint: Endpoint,
    { ended }: SilentAttempt,
): Promise<void> {
    const record = exchange.attempts.at(-1);
    const end = await ended;
    if (record !== undefined && end.kind === "broken" && end.mayBeCrash === true) {
        await checkCrash(context, exchange, { endpoint, record, mayBeCrash: true });
    }
}
