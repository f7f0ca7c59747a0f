/** The fault that a stand-in currently shows. A new fault replaces the current one. */
import type { Fault } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

export interface FaultState {
    fault: Fault | undefined;
    untilMs: number;
    /** Requests that the fault may still act on. */
    remaining: number;
    random: RandomGenerator;
}

export const createFaultState = (): FaultState => ({
    fault: undefined,
    untilMs: 0,
    remaining: 0,
    random: xoroshiro128plus(1),
});

/** Starts a fault. */
export function startFault(state: FaultState, fault: Fault): void {
    state.fault = fault;
    state.untilMs = Date.now() + fault.durationMs;
    state.remaining = fault.count ?? Number.POSITIVE_INFINITY;
    state.random = xoroshiro128plus(fault.seed);
}

/** Finds the fault in force, if any. */
export function getActiveFault(state: FaultState): Fault | undefined {
    return state.fault !== undefined && Date.now() < state.untilMs ? state.fault : undefined;
}

/** Takes the fault that acts on a request of this path, and counts the request. */
export function takeFault(state: FaultState, path: string): Fault | undefined {
    const fault = getActiveFault(state);
    if (fault === undefined || state.remaining <= 0 || !path.startsWith(fault.path)) {
        return undefined;
    }
    if (uniformFloat64(state.random) >= fault.probability) {
        return undefined;
    }
    state.remaining -= 1;
    return fault;
}

/** Time until all work goes on, in milliseconds; 0 if the stand-in is not frozen. */
export function getFreezeMs(state: FaultState): number {
    return getActiveFault(state)?.kind === "freeze" ? Math.max(0, state.untilMs - Date.now()) : 0;
}

/** Resolves when the stand-in is not frozen. */
export async function waitForThaw(state: FaultState): Promise<void> {
    for (let waitMs = getFreezeMs(state); waitMs > 0; waitMs = getFreezeMs(state)) {
        await new Promise(resolve => setTimeout(resolve, waitMs));
    }
}
