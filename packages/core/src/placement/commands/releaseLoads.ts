import { spendTokens } from "../../limits/commands/spendTokens.js";
import type { LoadRateLimiter } from "../model/loadRateLimiter.js";
import type { NeededLoad } from "../model/placement.js";
import { formatLoadKey } from "../queries/planLoads.js";

/** Time after which a released load that has not finished is released again. */
export const LOAD_TIMEOUT_MS = 120_000;

export interface ReleasedLoads {
    readonly rateLimiter: LoadRateLimiter;
    /** Loads that may run now, including those released earlier. */
    readonly loads: readonly NeededLoad[];
}

/** Releases loads to run, in the given order, as the rate limit of the domain allows. */
export function releaseLoads(limiter: LoadRateLimiter, needed: readonly NeededLoad[], now: number): ReleasedLoads {
    let { bucket } = limiter;
    const released = new Map<string, number>();
    for (const load of needed) {
        const key = formatLoadKey(load);
        const releasedAtMs = limiter.released.get(key);
        if (releasedAtMs !== undefined && now - releasedAtMs < LOAD_TIMEOUT_MS) {
            released.set(key, releasedAtMs);
            continue;
        }
        const spent = spendTokens(bucket, 1, now);
        bucket = spent.bucket;
        if (spent.allowed) {
            released.set(key, now);
        }
    }
    return { rateLimiter: { bucket, released }, loads: needed.filter(load => released.has(formatLoadKey(load))) };
}
