import { spendTokens } from "../../limits/commands/spendTokens.js";
import type { Pacing } from "../model/pacing.js";
import type { NeededLoad } from "../model/placement.js";
import { formatLoadKey } from "../queries/planLoads.js";

/** Time after which a released load that has not finished is released again. */
export const LOAD_TIMEOUT_MS = 120_000;

export interface ReleasedLoads {
    readonly pacing: Pacing;
    /** Loads that may run now, the earlier released ones included. */
    readonly loads: readonly NeededLoad[];
}

/** Releases loads in the order of their need, as the domain's rate allows. */
export function releaseLoads(pacing: Pacing, needed: readonly NeededLoad[], now: number): ReleasedLoads {
    let { bucket } = pacing;
    const released = new Map<string, number>();
    for (const load of needed) {
        const key = formatLoadKey(load);
        const releasedAtMs = pacing.released.get(key);
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
    return { pacing: { bucket, released }, loads: needed.filter(load => released.has(formatLoadKey(load))) };
}
