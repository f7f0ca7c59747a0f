/** Faults of a schedule. Each has a kind, a begin, a length and, for faults of one host, its index. */
import fc from "fast-check";

export const networkFaultKinds = [
    /** The store refuses everything unexecuted. */
    "storeOutage",
    /** Requests reach the store late, possibly after the client has given up. */
    "storeSlow",
    /** The store executes and its answers are lost. */
    "storeLosesAnswers",
    /** The endpoint accepts no connection. */
    "endpointDown",
    /** The endpoint closes the connection before it has executed what it received. */
    "endpointResets",
    /** The endpoint executes and its answers are lost. */
    "endpointLosesAnswers",
    /** The endpoint keeps the connection open without a byte. */
    "endpointSilent",
    "endpointSlow",
    /** Messages between hosts take seconds. */
    "peersSlow",
    /** Hosts of different failure domains cannot reach each other. */
    "cutDomains",
] as const;

export const hostFaultKinds = [
    /** The process ends; a new one starts after the fault. */
    "kill",
    /** The process stands still; its clocks go on. */
    "pause",
    /** The machine is suspended; its monotonic clock stands still as well. */
    "suspend",
    /** The wall clock is ahead by some seconds. */
    "clockAhead",
    "clockBehind",
    /** Packets between the host and the store are dropped. */
    "cutFromStore",
    "cutFromEndpoint",
    /** Packets between the host and all other hosts are dropped. */
    "cutFromPeers",
] as const;

export type NetworkFaultKind = (typeof networkFaultKinds)[number];
export type HostFaultKind = (typeof hostFaultKinds)[number];
export type FaultKind = NetworkFaultKind | HostFaultKind;

export interface ScheduledFault {
    readonly kind: FaultKind;
    readonly atMs: number;
    readonly durationMs: number;
    /** Index of the host; without meaning for network faults. */
    readonly host: number;
}

export interface FaultSpace {
    readonly kinds: readonly FaultKind[];
    readonly hosts: number;
    /** Latest begin. */
    readonly untilMs: number;
    readonly longestMs: number;
    readonly most: number;
}

/** Generates any combination of faults, overlapping ones and repetitions included. */
export function buildFaults(space: FaultSpace): fc.Arbitrary<ScheduledFault[]> {
    const fault = fc.record({
        kind: fc.constantFrom(...space.kinds),
        atMs: fc.integer({ min: 0, max: space.untilMs }),
        durationMs: fc.integer({ min: 1, max: space.longestMs }),
        host: fc.integer({ min: 0, max: space.hosts - 1 }),
    });
    return fc.array(fault, { maxLength: space.most });
}

export interface FaultPlan {
    /** Whether a fault of the kind is active now, on the host if it is one of a host. */
    readonly isActive: (kind: FaultKind, host?: number) => boolean;
}

export function createFaultPlan(faults: readonly ScheduledFault[], getNowMs: () => number): FaultPlan {
    return {
        isActive: (kind, host) => {
            const nowMs = getNowMs();
            return faults.some(fault =>
                fault.kind === kind
                && (host === undefined || fault.host === host)
                && fault.atMs <= nowMs
                && nowMs < fault.atMs + fault.durationMs
            );
        },
    };
}
