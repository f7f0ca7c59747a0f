/** Schedules of configuration changes, stops and withdrawals on hosts of two failure domains. */
import fc from "fast-check";
import { buildFaults, type FaultKind, hostFaultKinds, type ScheduledFault } from "../simulation/faults.js";

export const CLUSTER_HOSTS = 4;
/** Hosts with an index below this are in the first domain, the others in the second. */
export const FIRST_DOMAIN_HOSTS = 2;
const CHANGES_UNTIL_MS = 20_000;

export interface ScheduledTicket {
    readonly atMs: number;
    readonly host: number;
    /** Few numbers, so that tickets collide. */
    readonly number: number;
    readonly action: "reclaim" | "lend" | "workspace";
    /** Whether a second operator sends the same ticket to the next host at the same time. */
    readonly twice: boolean;
}

export interface ClusterSchedule {
    readonly seed: number;
    readonly tickets: readonly ScheduledTicket[];
    readonly stops: readonly { readonly atMs: number; readonly host: number; }[];
    readonly withdrawals: readonly { readonly atMs: number; readonly durationMs: number; }[];
    readonly faults: readonly ScheduledFault[];
}

const host = fc.integer({ min: 0, max: CLUSTER_HOSTS - 1 });
const atMs = fc.integer({ min: 3_000, max: CHANGES_UNTIL_MS });
const durationMs = fc.integer({ min: 1, max: 15_000 });
const isClockFault = (kind: FaultKind): boolean => kind === "clockAhead" || kind === "clockBehind";

const kinds: readonly FaultKind[] = [
    "storeOutage",
    "storeSlow",
    "storeLosesAnswers",
    // Listed more than once, because the rules about delayed and missing news are the hard ones.
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
    faults: buildFaults({ kinds, hosts: CLUSTER_HOSTS, untilMs: CHANGES_UNTIL_MS, longestMs: 15_000, most: 5 }),
});

/** The wall clock of a host that is suspended does not step: then neither clock would show the lost time. */
export const clusterSchedules: fc.Arbitrary<ClusterSchedule> = anySchedule.map(schedule => {
    const suspended = new Set(schedule.faults.filter(({ kind }) => kind === "suspend").map(fault => fault.host));
    const faults = schedule.faults
        .filter(fault => !isClockFault(fault.kind) || !suspended.has(fault.host))
        .flatMap(fault => [fault, ...listPlatformCuts(fault)]);
    return { ...schedule, faults };
});

/** The second domain loses the platform together with the other domain. */
function listPlatformCuts(fault: ScheduledFault): ScheduledFault[] {
    if (fault.kind !== "cutDomains") {
        return [];
    }
    return Array.from({ length: CLUSTER_HOSTS - FIRST_DOMAIN_HOSTS }, (_, index) => ({
        ...fault,
        kind: "cutFromStore" as const,
        host: FIRST_DOMAIN_HOSTS + index,
    }));
}
