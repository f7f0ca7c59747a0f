import { countPermitsLeft } from "../../permits/queries/countPermitsLeft.js";
import type { Exchange } from "../model/exchange.js";

/** Assumed prompt length in tokens if the caller does not state it. */
export const DEFAULT_PROMPT_TOKENS = 1_000;

/** Returns how many permits the prompt of a stream has to leave at an endpoint that names a rate limit. */
export const countLeft = ({ service, callerMetadata }: Pick<Exchange, "service" | "callerMetadata">): number =>
    countPermitsLeft(service.engine, callerMetadata.promptTokens ?? DEFAULT_PROMPT_TOKENS);
