/** Simulated fault of a stand-in. At most one fault is active; a new one replaces it. */
import type { Fault } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** The last fault that was started, and what is left of it. */
export interface FaultState {
    fault: Fault | undefined;
    /** End of the fault in milliseconds since the epoch. */
    endsAtMs: number;
    /** Number of requests that the fault may still affect. */
    remainingRequests: number;
    /** Decides, with the fault's probability, whether a request is affected. Seeded by the fault. */
    random: RandomGenerator;
}

export const createFaultState = (): FaultState => ({
    fault: undefined,
    endsAtMs: 0,
    remainingRequests: 0,
    random: xoroshiro128plus(1),
});

/** Starts a fault in place of the current one. Duration 0 ends the current fault without another. */
export function startFault(state: FaultState, fault: Fault): void {
    state.fault = fault;
    state.endsAtMs = Date.now() + fault.durationMs;
    state.remainingRequests = fault.count ?? Number.POSITIVE_INFINITY;
    state.random = xoroshiro128plus(fault.seed);
}

/** Returns the active fault, or `undefined` if there is none or its duration has passed. */
export function getActiveFault(state: FaultState): Fault | undefined {
    return state.fault !== undefined && Date.now() < state.endsAtMs ? state.fault : undefined;
}

/** Returns the fault to apply to a request of this path, if any, and counts the request against the fault's limit. */
export function takeFault(state: FaultState, path: string): Fault | undefined {
    const fault = getActiveFault(state);
    if (fault === undefined || state.remainingRequests <= 0 || !path.startsWith(fault.path)) {
        return undefined;
    }
    if (uniformFloat64(state.random) >= fault.probability) {
        return undefined;
    }
    state.remainingRequests -= 1;
    return fault;
}

/** Remaining time of a freeze in milliseconds; 0 if the stand-in is not frozen. */
export function getRemainingFreezeMs(state: FaultState): number {
    return getActiveFault(state)?.kind === "freeze" ? Math.max(0, state.endsAtMs - Date.now()) : 0;
}

/** Resolves as soon as the stand-in is not frozen. */
export async function waitUntilUnfrozen(state: FaultState): Promise<void> {
    for (let waitMs = getRemainingFreezeMs(state); waitMs > 0; waitMs = getRemainingFreezeMs(state)) {
        await new Promise(resolve => setTimeout(resolve, waitMs));
    }
}
