/** Schedules of attempts that hold memory on engines. */
import fc from "fast-check";
import { buildFaults, type FaultKind, type ScheduledFault } from "../simulation/faults.js";

export const MEMORY_HOST_COUNT = 3;
const LATEST_ATTEMPT_MS = 15_000;

/** An attempt on a host that holds memory on one engine while it runs. */
export interface ScheduledAttempt {
    readonly atMs: number;
    readonly host: number;
    readonly engine: number;
    readonly tokens: number;
    /** Time from the request for memory to the end of the attempt. */
    readonly durationMs: number;
}

/** The names of the fields are printed with a counterexample. */
export interface MemorySchedule {
    readonly seed: number;
    readonly attempts: readonly ScheduledAttempt[];
    readonly faults: readonly ScheduledFault[];
    /** For each engine, whether it never expires allocations. */
    readonly ignoresTtl: readonly boolean[];
}

const kinds: readonly FaultKind[] = [
    "kill",
    "kill",
    "pause",
    "suspend",
    "cutFromEndpoint",
    "cutFromPeers",
    "endpointDown",
    "endpointLosesAnswers",
    "endpointSlow",
    "peersSlow",
];

export const memorySchedules: fc.Arbitrary<MemorySchedule> = fc.record({
    seed: fc.integer(),
    attempts: fc.array(
        fc.record({
            atMs: fc.integer({ min: 0, max: LATEST_ATTEMPT_MS }),
            host: fc.integer({ min: 0, max: MEMORY_HOST_COUNT - 1 }),
            engine: fc.integer({ min: 0, max: 1 }),
            tokens: fc.integer({ min: 1, max: 60 }),
            durationMs: fc.integer({ min: 0, max: 60_000 }),
        }),
        { minLength: 1, maxLength: 6 },
    ),
    faults: buildFaults({
        kinds,
        hostCount: MEMORY_HOST_COUNT,
        latestStartMs: LATEST_ATTEMPT_MS,
        maxDurationMs: 50_000,
        maxFaults: 5,
    }),
    ignoresTtl: fc.tuple(fc.boolean(), fc.boolean()),
});
