import type { Exchange } from "../model/exchange.js";

/** Returns whether an endpoint may have run the request, or may still run it. */
export const hasPossiblyRun = ({ attempts }: Pick<Exchange, "attempts">): boolean =>
    attempts.some(({ wasSent, outcome }) => wasSent && outcome !== "not_run");
