/** Measures the work that arrives at a host, for the division of the endpoints into lanes. */
import { isLongClass, type LengthClass } from "../../model/lengthClass.js";
import type { LaneDemand } from "../queries/planLanes.js";

/** Sums that decay with `DEMAND_WINDOW_MS`. */
export interface DemandMeter {
    readonly startedAtMs: number;
    readonly updatedAtMs: number;
    readonly shortTokens: number;
    readonly longTokens: number;
}

/** A window of this length holds tens of huge prompts in a small deployment, so that the lanes do not flap. */
export const DEMAND_WINDOW_MS = 120_000;

export function createDemandMeter(now: number): DemandMeter {
    return { startedAtMs: now, updatedAtMs: now, shortTokens: 0, longTokens: 0 };
}

/** Adds the prefill tokens of a request that arrived. */
export function recordDemand(meter: DemandMeter, lengthClass: LengthClass, tokens: number, now: number): DemandMeter {
    const decay = computeDecay(now - meter.updatedAtMs);
    const isLong = isLongClass(lengthClass);
    return {
        startedAtMs: meter.startedAtMs,
        updatedAtMs: now,
        shortTokens: meter.shortTokens * decay + (isLong ? 0 : tokens),
        longTokens: meter.longTokens * decay + (isLong ? tokens : 0),
    };
}

/** Demand per second. A young meter divides by the part of the window that it has seen. */
export function readDemand(meter: DemandMeter, now: number): LaneDemand {
    const decay = computeDecay(now - meter.updatedAtMs);
    const seenMs = DEMAND_WINDOW_MS * (1 - computeDecay(now - meter.startedAtMs));
    const perSecond = seenMs > 0 ? 1_000 / seenMs : 0;
    return {
        shortTokensPerSecond: meter.shortTokens * decay * perSecond,
        longTokensPerSecond: meter.longTokens * decay * perSecond,
    };
}

/** Sums the demand that the hosts publish. */
export function sumDemand(demands: readonly LaneDemand[]): LaneDemand {
    return {
        shortTokensPerSecond: demands.reduce((sum, demand) => sum + demand.shortTokensPerSecond, 0),
        longTokensPerSecond: demands.reduce((sum, demand) => sum + demand.longTokensPerSecond, 0),
    };
}

const computeDecay = (elapsedMs: number): number => Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
