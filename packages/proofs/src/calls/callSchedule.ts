/** Schedules of calls with idempotency keys, which must not be executed twice. */
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

export const CALL_HOST_COUNT = 3;
const LATEST_REQUEST_MS = 2_500;
const HOUR_MS = 3_600_000;

/**
 * Start of each era, a time window of requests and sweeps: at once, shortly before the retention of the first era's
 * call records ends, and after a sweep may delete them.
 */
export const eraStartTimesMs = [
    0,
    CALL_RETENTION_MS - HOUR_MS,
    CALL_RETENTION_MS + CALL_SWEEP_MARGIN_MS + HOUR_MS,
] as const;

/** A request of a caller. The names of the fields are printed with a counterexample. */
export interface ScheduledRequest {
    readonly era: number;
    /** Time since the start of the era. */
    readonly atMs: number;
    readonly host: number;
    /** Idempotency key. */
    readonly key: string;
    readonly payload: string;
    readonly timeoutMs: number;
    /** How often the caller retries the request on the next host if it gets no answer. */
    readonly retries: number;
}

/** One generated run. The names of the fields are printed with a counterexample. */
export interface CallSchedule {
    readonly seed: number;
    readonly requests: readonly ScheduledRequest[];
    readonly faults: readonly ScheduledFault[];
    /** Planned stops of hosts, which drain before they exit. */
    readonly drains: readonly { readonly atMs: number; readonly host: number; }[];
    /** Sweeps, which delete expired call records. */
    readonly sweeps: readonly {
        readonly era: number;
        readonly atMs: number;
        readonly host: number;
        /** Time between listing the records and deleting them. */
        readonly delayMs: number;
    }[];
}

/** Faults without effect here, because calls involve no messages between hosts. */
const peerFaults: ReadonlySet<FaultKind> = new Set(["cutFromPeers", "cutDomains", "peersSlow"]);

const host = fc.integer({ min: 0, max: CALL_HOST_COUNT - 1 });
// Most requests are in the first era, because all faults are.
const era = fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, { weight: 2, arbitrary: fc.constantFrom(1, 1, 2) });
const atMs = fc.integer({ min: 0, max: LATEST_REQUEST_MS });

const request: fc.Arbitrary<ScheduledRequest> = fc.record({
    era,
    atMs,
    host,
    key: fc.constantFrom("k1", "k2"),
    payload: fc.constantFrom("a", "a", "a", "a", "a", "a", "b", LARGE_PAYLOAD),
    timeoutMs: fc.integer({ min: 50, max: 9_000 }),
    retries: fc.integer({ min: 0, max: 2 }),
});

/** Generates arbitrary mixes of requests, faults, planned stops and sweeps. */
export const callSchedules: fc.Arbitrary<CallSchedule> = fc.record({
    seed: fc.integer(),
    requests: fc.array(request, { minLength: 1, maxLength: 8 }),
    faults: buildFaults({
        kinds: [...networkFaultKinds, ...hostFaultKinds].filter(kind => !peerFaults.has(kind)),
        hostCount: CALL_HOST_COUNT,
        latestStartMs: LATEST_REQUEST_MS,
        maxDurationMs: 8_000,
        maxFaults: 6,
    }),
    drains: fc.array(fc.record({ atMs, host }), { maxLength: 1 }),
    sweeps: fc.array(fc.record({ era, atMs, host, delayMs: fc.integer({ min: 1, max: 5_000 }) }), { maxLength: 2 }),
});

/**
 * Schedules in which the wall clock of a suspended host is not stepped. If it were set back during the suspension,
 * neither clock of the host would show the lost time, so that the host might send a call after its deadline.
 */
export const stableWallClockSchedules: fc.Arbitrary<CallSchedule> = callSchedules.map(schedule => {
    const suspended = new Set(schedule.faults.filter(fault => fault.kind === "suspend").map(fault => fault.host));
    const isStep = (kind: FaultKind): boolean => kind === "clockAhead" || kind === "clockBehind";
    return { ...schedule, faults: schedule.faults.filter(fault => !suspended.has(fault.host) || !isStep(fault.kind)) };
});
