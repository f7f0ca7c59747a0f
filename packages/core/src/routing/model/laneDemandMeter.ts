/** Measures the prefill tokens that arrive at a host, from which `planLanes` divides the endpoints into lanes. */
import { isLongClass, type LengthClass } from "../../model/lengthClass.js";
import type { LaneDemand } from "../queries/planLanes.js";

/** Token sums that decay exponentially with the time constant `DEMAND_WINDOW_MS`. */
export interface LaneDemandMeter {
    readonly startedAtMs: number;
    readonly updatedAtMs: number;
    readonly shortTokens: number;
    readonly longTokens: number;
}

/**
 * Long enough to cover tens of huge prompts in a small deployment; otherwise endpoints would change lanes repeatedly.
 */
export const DEMAND_WINDOW_MS = 120_000;

export function createLaneDemandMeter(now: number): LaneDemandMeter {
    return { startedAtMs: now, updatedAtMs: now, shortTokens: 0, longTokens: 0 };
}

/** Adds the prefill tokens of an arriving request. */
export function recordLaneDemand(
    meter: LaneDemandMeter,
    lengthClass: LengthClass,
    tokens: number,
    now: number,
): LaneDemandMeter {
    const decay = computeDecay(now - meter.updatedAtMs);
    const isLong = isLongClass(lengthClass);
    return {
        startedAtMs: meter.startedAtMs,
        updatedAtMs: now,
        shortTokens: meter.shortTokens * decay + (isLong ? 0 : tokens),
        longTokens: meter.longTokens * decay + (isLong ? tokens : 0),
    };
}

/**
 * Computes the demand per second. A meter younger than the window divides by the fraction of the window since its
 * start.
 */
export function measureLaneDemand(meter: LaneDemandMeter, now: number): LaneDemand {
    const decay = computeDecay(now - meter.updatedAtMs);
    const seenMs = DEMAND_WINDOW_MS * (1 - computeDecay(now - meter.startedAtMs));
    const perSecond = seenMs > 0 ? 1_000 / seenMs : 0;
    return {
        shortTokensPerSecond: meter.shortTokens * decay * perSecond,
        longTokensPerSecond: meter.longTokens * decay * perSecond,
    };
}

export function sumLaneDemand(demands: readonly LaneDemand[]): LaneDemand {
    return {
        shortTokensPerSecond: demands.reduce((sum, demand) => sum + demand.shortTokensPerSecond, 0),
        longTokensPerSecond: demands.reduce((sum, demand) => sum + demand.longTokensPerSecond, 0),
    };
}

const computeDecay = (elapsedMs: number): number => Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
