/** Faults that a schedule injects. Each has a kind, a start, a duration and, if it affects one host, its index. */
import fc from "fast-check";

/** Faults that affect every host. A counterexample is printed with these names. */
export const networkFaultKinds = [
    /** The store refuses all requests without executing them. */
    "storeOutage",
    /** Requests reach the store late, possibly after the time-out of the client. */
    "storeSlow",
    /** The store executes requests, but half of its answers are lost. */
    "storeLosesAnswers",
    /** The endpoint accepts no connections. */
    "endpointDown",
    /** The endpoint closes the connection without executing the request. */
    "endpointResets",
    /** The endpoint executes requests, but its answers are lost. */
    "endpointLosesAnswers",
    /** The endpoint keeps the connection open and sends nothing. */
    "endpointSilent",
    "endpointSlow",
    /** Messages between hosts are delayed by seconds. */
    "peersSlow",
    /** A network partition separates the failure domains from each other. */
    "cutDomains",
] as const;

/** Faults that affect one host. A counterexample is printed with these names. */
export const hostFaultKinds = [
    /** The process is killed; a new one starts at the end of the fault. */
    "kill",
    /** The process is paused; its clocks keep running. */
    "pause",
    /** The machine is suspended; the monotonic clock stops too. */
    "suspend",
    /** The wall clock is several seconds ahead. */
    "clockAhead",
    /** The wall clock is several seconds behind. */
    "clockBehind",
    /** The network drops all packets between the host and the store. */
    "cutFromStore",
    /** The network drops all packets between the host and the endpoints. */
    "cutFromEndpoint",
    /** The network drops all packets between the host and its peers. */
    "cutFromPeers",
] as const;

export type NetworkFaultKind = (typeof networkFaultKinds)[number];
export type HostFaultKind = (typeof hostFaultKinds)[number];
export type FaultKind = NetworkFaultKind | HostFaultKind;

/** The names of the fields are printed with a counterexample. */
export interface ScheduledFault {
    readonly kind: FaultKind;
    readonly atMs: number;
    readonly durationMs: number;
    /** Index of the host; ignored for network faults. */
    readonly host: number;
}

/** Bounds of the generated faults. */
export interface FaultSpace {
    readonly kinds: readonly FaultKind[];
    readonly hostCount: number;
    readonly latestStartMs: number;
    readonly maxDurationMs: number;
    readonly maxFaults: number;
}

/** Generates arbitrary combinations of faults, which may overlap and repeat. */
export function buildFaults(space: FaultSpace): fc.Arbitrary<ScheduledFault[]> {
    const fault = fc.record({
        kind: fc.constantFrom(...space.kinds),
        atMs: fc.integer({ min: 0, max: space.latestStartMs }),
        durationMs: fc.integer({ min: 1, max: space.maxDurationMs }),
        host: fc.integer({ min: 0, max: space.hostCount - 1 }),
    });
    return fc.array(fault, { maxLength: space.maxFaults });
}

/** Lets the fakes query which faults are active. */
export interface FaultPlan {
    /** Whether a fault of the kind is active now; with `host`, whether one is active on that host. */
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
