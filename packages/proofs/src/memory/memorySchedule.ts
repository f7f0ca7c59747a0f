/** Schedules of attempts that hold memory on engines. */
import fc from "fast-check";
import { buildFaults, type FaultKind, type ScheduledFault } from "../simulation/faults.js";

export const MEMORY_HOSTS = 3;
const ATTEMPTS_UNTIL_MS = 15_000;

export interface ScheduledAttempt {
    readonly atMs: number;
    readonly host: number;
    readonly engine: number;
    readonly tokens: number;
    /** Time from the allocation to the end of the work. */
    readonly durationMs: number;
}

export interface MemorySchedule {
    readonly seed: number;
    readonly attempts: readonly ScheduledAttempt[];
    readonly faults: readonly ScheduledFault[];
    /** For each engine whether it keeps an allocation after its time to live. */
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
            atMs: fc.integer({ min: 0, max: ATTEMPTS_UNTIL_MS }),
            host: fc.integer({ min: 0, max: MEMORY_HOSTS - 1 }),
            engine: fc.integer({ min: 0, max: 1 }),
            tokens: fc.integer({ min: 1, max: 60 }),
            durationMs: fc.integer({ min: 0, max: 60_000 }),
        }),
        { minLength: 1, maxLength: 6 },
    ),
    faults: buildFaults({ kinds, hosts: MEMORY_HOSTS, untilMs: ATTEMPTS_UNTIL_MS, longestMs: 50_000, most: 5 }),
    ignoresTtl: fc.tuple(fc.boolean(), fc.boolean()),
});
