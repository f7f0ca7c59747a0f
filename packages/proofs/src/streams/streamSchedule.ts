/** Schedules of streamed answers from engines that stall, close the connection, or repeat, skip or mix up tokens. */
import fc from "fast-check";

/** Ways in which an engine answers an attempt. A counterexample is printed with these names. */
export const engineBehaviours = [
    "complete",
    /** Sends some tokens and then nothing more, with the connection still open. */
    "silent",
    /** Closes the connection after some tokens, without the terminator. */
    "closes",
    /** Sends the answer from its first token, although a later one was requested. */
    "repeats",
    /** Leaves out one token. */
    "skips",
    /** Inserts a token of another request. */
    "mixes",
] as const;

/** How an engine answers one attempt. */
export interface ScheduledAttempt {
    readonly behaviour: (typeof engineBehaviours)[number];
    /** Number of correct tokens before the behaviour occurs. */
    readonly after: number;
    readonly tokenDelayMs: number;
    /** Whether the engine keeps sending after the host has aborted the attempt. */
    readonly ignoresCancel: boolean;
}

/** The names of the fields are printed with a counterexample. */
export interface StreamSchedule {
    readonly prompts: readonly {
        readonly atMs: number;
        readonly tokens: number;
        readonly timeoutMs: number;
        /** How the engine answers each attempt, in this order. Further attempts get a complete answer. */
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
