/** Schedules of configuration changes, stops and withdrawals on hosts of two failure domains. */
import fc from "fast-check";
import { buildFaults, type FaultKind, hostFaultKinds, type ScheduledFault } from "../simulation/faults.js";

export const CLUSTER_HOST_COUNT = 4;
/** Hosts with a lower index are in the first failure domain, the others in the second. */
export const FIRST_DOMAIN_HOST_COUNT = 2;
const LATEST_CHANGE_MS = 20_000;

/** A ticket that an operator sends to a host. */
export interface ScheduledTicket {
    readonly atMs: number;
    readonly host: number;
    /** One of few numbers, so that tickets conflict. */
    readonly number: number;
    readonly action: "reclaim" | "lend" | "workspace";
    /** Whether a second operator sends the same ticket to the next host at the same time. */
    readonly twice: boolean;
}

/** The names of the fields are printed with a counterexample. */
export interface ClusterSchedule {
    readonly seed: number;
    readonly tickets: readonly ScheduledTicket[];
    readonly stops: readonly { readonly atMs: number; readonly host: number; }[];
    /** Periods in which the endpoint reports that its owner has withdrawn it. */
    readonly withdrawals: readonly { readonly atMs: number; readonly durationMs: number; }[];
    readonly faults: readonly ScheduledFault[];
}

const host = fc.integer({ min: 0, max: CLUSTER_HOST_COUNT - 1 });
const atMs = fc.integer({ min: 3_000, max: LATEST_CHANGE_MS });
const durationMs = fc.integer({ min: 1, max: 15_000 });
const isClockFault = (kind: FaultKind): boolean => kind === "clockAhead" || kind === "clockBehind";

const kinds: readonly FaultKind[] = [
    "storeOutage",
    "storeSlow",
    "storeLosesAnswers",
    // Listed several times to be generated more often, because delayed and lost updates are the hard cases.
    "peersSlow",
    "peersSlow",
    "peersSlow",
    "cutDomains",
    "cutDomains",
    ...hostFaultKinds,
];

const anySchedule: fc.Arbitrary<ClusterSchedule> = fc.record({
    seed: fc.integer(),
    tickets: fc.array(
        fc.record({
            atMs,
            host,
            number: fc.integer({ min: 2, max: 5 }),
            action: fc.constantFrom("reclaim", "reclaim", "lend", "workspace"),
            twice: fc.boolean(),
        }),
        { maxLength: 4 },
    ),
    stops: fc.array(fc.record({ atMs, host }), { maxLength: 2 }),
    withdrawals: fc.array(fc.record({ atMs, durationMs }), { maxLength: 1 }),
    faults: buildFaults({
        kinds,
        hostCount: CLUSTER_HOST_COUNT,
        latestStartMs: LATEST_CHANGE_MS,
        maxDurationMs: 15_000,
        maxFaults: 5,
    }),
});

/** The wall clock of a suspended host is not stepped, because then neither of its clocks would show the lost time. */
export const clusterSchedules: fc.Arbitrary<ClusterSchedule> = anySchedule.map(schedule => {
    const suspended = new Set(schedule.faults.filter(({ kind }) => kind === "suspend").map(fault => fault.host));
    const faults = schedule.faults
        .filter(fault => !isClockFault(fault.kind) || !suspended.has(fault.host))
        .flatMap(fault => [fault, ...listStoreFaults(fault)]);
    return { ...schedule, faults };
});

/** A partition between the domains also separates the second domain from the platform. */
function listStoreFaults(fault: ScheduledFault): ScheduledFault[] {
    if (fault.kind !== "cutDomains") {
        return [];
    }
    return Array.from({ length: CLUSTER_HOST_COUNT - FIRST_DOMAIN_HOST_COUNT }, (_, index) => ({
        ...fault,
        kind: "cutFromStore" as const,
        host: FIRST_DOMAIN_HOST_COUNT + index,
    }));
}
