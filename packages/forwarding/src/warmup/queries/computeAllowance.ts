/** Fraction of the fleet from which on a host grants, so that at most four do so in a partition. */
const MIN_VISIBLE_FRACTION = 0.25;
/** Permits of a cold endpoint that are available at once, if a host sees more than half of the fleet. */
const MAJORITY_CAPACITY = 2;
/** The same on other sides of a partition. */
const MINORITY_CAPACITY = 1;
/** The same at higher rates, as the time in which they accrue: what 1.1 x 4/3 leaves of 1.5. */
const BURST_SECONDS = 0.03;

export interface GranterState {
    /** Whether no other host of this side of a partition grants any more. */
    readonly isEstablished: boolean;
    /** Number of live hosts as this host sees it, including itself. */
    readonly visibleHosts: number;
    /** Largest number of hosts that was known. */
    readonly knownHosts: number;
}

/** What a host grants for an endpoint that is cold. */
export interface Allowance {
    readonly requestsPerSecond: number;
    /** Permits that are available at once. */
    readonly capacity: number;
}

/**
 * Computes what this host may grant of the rate of a cold endpoint, so that all hosts together stay within the bound;
 * `undefined` if it may not grant, and each host sends in its own time slots.
 */
export function computeAllowance(
    requestsPerSecond: number,
    { isEstablished, visibleHosts, knownHosts }: GranterState,
): Allowance | undefined {
    const fraction = Math.min(1, visibleHosts / knownHosts);
    if (!isEstablished || fraction < MIN_VISIBLE_FRACTION) {
        return undefined;
    }
    // The other sides of a partition grant the rest.
    const visibleRate = requestsPerSecond * fraction;
    return {
        requestsPerSecond: visibleRate,
        capacity: fraction > 0.5 ? Math.max(MAJORITY_CAPACITY, visibleRate * BURST_SECONDS) : MINORITY_CAPACITY,
    };
}
