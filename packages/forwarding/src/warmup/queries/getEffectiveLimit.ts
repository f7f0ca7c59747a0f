import type { Clocks } from "@currantrill/protocol";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";

/** Rate that an endpoint takes from all hosts together. */
export interface EffectiveLimit {
    readonly requestsPerSecond: number;
    readonly isCold: boolean;
}

/** Returns the lower of the limit that an endpoint names and of its rate while cold; `undefined` without either. */
export function getEffectiveLimit(
    { notices, warmth }: Pick<Endpoint, "notices" | "warmth">,
    now: Clocks,
): EffectiveLimit | undefined {
    const named = notices.getRateLimit(now);
    const cold = warmth.getRate(now.monotonicMs);
    return named === undefined && cold === undefined ? undefined : {
        requestsPerSecond: Math.min(named ?? Infinity, cold ?? Infinity),
        isCold: cold !== undefined,
    };
}
