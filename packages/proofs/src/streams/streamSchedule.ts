/** Schedules of streamed answers from engines that go silent, break off, repeat, skip or mix up tokens. */
import fc from "fast-check";

export const engineBehaviours = [
    "complete",
    /** Sends some tokens and then nothing more on an open connection. */
    "silent",
    "closes",
    /** Sends the answer from its first token, whatever was asked for. */
    "repeats",
    "skips",
    /** Sends tokens of another request in between. */
    "mixes",
] as const;

export interface ScheduledAttempt {
    readonly behaviour: (typeof engineBehaviours)[number];
    /** Tokens before the behaviour shows. */
    readonly after: number;
    readonly tokenDelayMs: number;
    /** Whether the engine sends on after the host has given the attempt up. */
    readonly ignoresCancel: boolean;
}

export interface StreamSchedule {
    readonly prompts: readonly {
        readonly atMs: number;
        readonly tokens: number;
        readonly timeoutMs: number;
        /** What each attempt meets, in this order; further attempts meet a complete engine. */
        readonly attempts: readonly ScheduledAttempt[];
    }[];
}

const attempt = fc.record({
    behaviour: fc.constantFrom(...engineBehaviours),
    after: fc.integer({ min: 0, max: 8 }),
    tokenDelayMs: fc.integer({ min: 1, max: 400 }),
    ignoresCancel: fc.boolean(),
});

export const streamSchedules: fc.Arbitrary<StreamSchedule> = fc.record({
    prompts: fc.array(
        fc.record({
            atMs: fc.integer({ min: 0, max: 500 }),
            tokens: fc.integer({ min: 1, max: 8 }),
            timeoutMs: fc.integer({ min: 10, max: 20_000 }),
            attempts: fc.array(attempt, { maxLength: 4 }),
        }),
        { minLength: 1, maxLength: 3 },
    ),
});
