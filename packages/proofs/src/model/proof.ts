/** What a promise's row in the report consists of. */
import type { CallSafeguards, LendingSafeguards } from "@currantrill/core";
import type fc from "fast-check";
import type { History } from "./history.js";

/** Finds what contradicts a promise; empty if nothing does. */
export type Checker = (history: History) => string[];

/** Mechanisms that a run switches off. Only the proofs and their tests set them. */
export interface Switches {
    readonly call: Partial<CallSafeguards>;
    readonly lending: Partial<LendingSafeguards>;
    /** Adopt a configuration of any revision. */
    readonly adoptLower: boolean;
    /** Report a ticket whose write had no response as refused. */
    readonly claimNotApplied: boolean;
    /** Treat a heartbeat answer as news of the time at which it arrives. */
    readonly trustArrival: boolean;
    /** Count nothing but own reads of the platform as news. */
    readonly ignoreHeartbeats: boolean;
    /** Sweepers release nothing. */
    readonly keepOrphans: boolean;
    /** Owners tell sweepers that they know none of their attempts. */
    readonly denyOwnership: boolean;
    /** Retention of call records in milliseconds, if it differs from the promised one. */
    readonly retentionMs: number | undefined;
    /** Treat tokens of a given-up attempt as those of the current one. */
    readonly acceptLateTokens: boolean;
    /** Treat a closed connection as the end of an answer. */
    readonly acceptUnterminated: boolean;
    /** Wait for a silent connection until the deadline. */
    readonly noProgressLimit: boolean;
    /** End the process of a planned stop at once. */
    readonly exitWithoutDrain: boolean;
}

export const noSwitches: Switches = {
    call: {},
    lending: {},
    adoptLower: false,
    claimNotApplied: false,
    trustArrival: false,
    ignoreHeartbeats: false,
    keepOrphans: false,
    denyOwnership: false,
    retentionMs: undefined,
    acceptLateTokens: false,
    acceptUnterminated: false,
    noProgressLimit: false,
    exitWithoutDrain: false,
};

/** A generated space of schedules and the run that turns one into a history. */
export interface Scenario<S> {
    readonly name: string;
    /** What a schedule varies, for the report. */
    readonly covers: string;
    readonly schedules: fc.Arbitrary<S>;
    readonly run: (schedule: S, switches: Switches) => History;
}

/** One promise, with the scenarios whose histories its checker examines. */
export interface PromiseProof {
    readonly name: string;
    readonly promise: string;
    readonly checkerName: string;
    readonly check: Checker;
    readonly scenarios: readonly AnyScenario[];
}

/** A scenario whose schedule type does not matter to the caller. */
export interface AnyScenario {
    readonly name: string;
    readonly covers: string;
    /** Checks `runs` histories; the schedule of the first one with a finding is returned. */
    readonly findCounterexample: (options: SearchOptions) => Counterexample | undefined;
}

export interface SearchOptions {
    readonly check: Checker;
    readonly switches: Switches;
    readonly seed: number;
    readonly runs: number;
}

export interface Counterexample {
    readonly schedule: unknown;
    readonly findings: readonly string[];
    /** Schedules run up to this one, without those run to shrink it. */
    readonly runs: number;
}
