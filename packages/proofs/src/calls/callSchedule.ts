/** Schedules of calls that must not run twice. */
import { CALL_RETENTION_MS, CALL_SWEEP_MARGIN_MS } from "@currantrill/core";
import fc from "fast-check";
import {
    buildFaults,
    type FaultKind,
    hostFaultKinds,
    networkFaultKinds,
    type ScheduledFault,
} from "../simulation/faults.js";
import { LARGE_PAYLOAD } from "./fakeService.js";

export const CALL_HOSTS = 3;
const REQUESTS_UNTIL_MS = 2_500;
const HOUR_MS = 3_600_000;

/** Begin of each era: now, shortly before the records' retention ends, and after the sweep may delete them. */
export const eraStartsMs = [
    0,
    CALL_RETENTION_MS - HOUR_MS,
    CALL_RETENTION_MS + CALL_SWEEP_MARGIN_MS + HOUR_MS,
] as const;

export interface ScheduledRequest {
    readonly era: number;
    readonly atMs: number;
    readonly host: number;
    readonly key: string;
    readonly payload: string;
    readonly timeoutMs: number;
    /** Times that the caller repeats the request on another host if it has no answer. */
    readonly retries: number;
}

export interface CallSchedule {
    readonly seed: number;
    readonly requests: readonly ScheduledRequest[];
    readonly faults: readonly ScheduledFault[];
    /** Planned stops. */
    readonly drains: readonly { readonly atMs: number; readonly host: number; }[];
    readonly sweeps: readonly {
        readonly era: number;
        readonly atMs: number;
        readonly host: number;
        /** Time between the listing and the deletes. */
        readonly delayMs: number;
    }[];
}

/** Calls send nothing between hosts. */
const peerFaults: ReadonlySet<FaultKind> = new Set(["cutFromPeers", "cutDomains", "peersSlow"]);

const host = fc.integer({ min: 0, max: CALL_HOSTS - 1 });
// Most requests are in the first era, where the faults are.
const era = fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, { weight: 2, arbitrary: fc.constantFrom(1, 1, 2) });
const atMs = fc.integer({ min: 0, max: REQUESTS_UNTIL_MS });

const request: fc.Arbitrary<ScheduledRequest> = fc.record({
    era,
    atMs,
    host,
    key: fc.constantFrom("k1", "k2"),
    payload: fc.constantFrom("a", "a", "a", "a", "a", "a", "b", LARGE_PAYLOAD),
    timeoutMs: fc.integer({ min: 50, max: 9_000 }),
    retries: fc.integer({ min: 0, max: 2 }),
});

/** Any mix of requests, faults, planned stops and sweeps. */
export const callSchedules: fc.Arbitrary<CallSchedule> = fc.record({
    seed: fc.integer(),
    requests: fc.array(request, { minLength: 1, maxLength: 8 }),
    faults: buildFaults({
        kinds: [...networkFaultKinds, ...hostFaultKinds].filter(kind => !peerFaults.has(kind)),
        hosts: CALL_HOSTS,
        untilMs: REQUESTS_UNTIL_MS,
        longestMs: 8_000,
        most: 6,
    }),
    drains: fc.array(fc.record({ atMs, host }), { maxLength: 1 }),
    sweeps: fc.array(fc.record({ era, atMs, host, delayMs: fc.integer({ min: 1, max: 5_000 }) }), { maxLength: 2 }),
});

/**
 * Schedules in which the wall clock of a host that is suspended does not step. If it steps back during a suspension,
 * neither clock of the host shows the lost time, so that a call may be sent after its deadline.
 */
export const steadyClockSchedules: fc.Arbitrary<CallSchedule> = callSchedules.map(schedule => {
    const suspended = new Set(schedule.faults.filter(fault => fault.kind === "suspend").map(fault => fault.host));
    const isStep = (kind: FaultKind): boolean => kind === "clockAhead" || kind === "clockBehind";
    return { ...schedule, faults: schedule.faults.filter(fault => !suspended.has(fault.host) || !isStep(fault.kind)) };
});
