/** Types of the proofs: property-based tests that check a guarantee of the core on generated schedules. */
import type { CallSafeguards, LendingSafeguards } from "@currantrill/core";
import type fc from "fast-check";
import type { History } from "./history.js";

/** Checks a history against a guarantee. Returns a finding for each violation, an empty list if there is none. */
export type Checker = (history: History) => string[];

/** Safeguards that a run disables, in the core or in the simulation. Only the proofs and their tests set them. */
export interface SafeguardOverrides {
    /** Safeguards of calls to disable (`false`). */
    readonly call: Partial<CallSafeguards>;
    /** Lending rules to disable (`false`). */
    readonly lending: Partial<LendingSafeguards>;
    /** Adopt configurations of lower revisions too. */
    readonly adoptLower: boolean;
    /** Report a ticket as refused if its write got no response, although the platform may have committed it. */
    readonly claimNotApplied: boolean;
    /** Date the confirmation in a heartbeat answer from its arrival, not from the time the heartbeat was sent. */
    readonly trustArrival: boolean;
    /** Accept no confirmation of the configuration except the host's own reads of the platform. */
    readonly ignoreHeartbeats: boolean;
    /** Let sweepers release nothing. */
    readonly keepOrphans: boolean;
    /** Let hosts answer ownership queries as if none of their attempts were running. */
    readonly denyOwnership: boolean;
    /** Retention of call records in milliseconds; `undefined` for the guaranteed one. */
    readonly retentionMs: number | undefined;
    /** Accept tokens of an aborted attempt as tokens of the current one. */
    readonly acceptLateTokens: boolean;
    /** Treat a closed connection as the terminator of an answer. */
    readonly acceptUnterminated: boolean;
    /** Wait on a connection without progress until the deadline. */
    readonly noProgressLimit: boolean;
    /** Redistribute the share of a host as soon as it is unreachable. */
    readonly dropUnreachable: boolean;
    /** Exit at once on a planned stop, without draining. */
    readonly exitWithoutDrain: boolean;
}

/** All safeguards in effect, as in production. */
export const noOverrides: SafeguardOverrides = {
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
    dropUnreachable: false,
    exitWithoutDrain: false,
};

/** A generator of schedules and the simulation that runs a schedule and returns its history. */
export interface Scenario<S> {
    readonly name: string;
    /** What the schedules vary. */
    readonly covers: string;
    readonly schedules: fc.Arbitrary<S>;
    readonly run: (schedule: S, overrides: SafeguardOverrides) => History;
}

/** One guarantee, the checker that detects violations of it, and the scenarios whose histories the checker examines. */
export interface Proof {
    readonly name: string;
    /** Printed in the report, as `promise` in JSON. */
    readonly guarantee: string;
    readonly checkerName: string;
    readonly check: Checker;
    readonly scenarios: readonly AnyScenario[];
}

/** A scenario without its schedule type, so that scenarios of different types fit into one list. */
export interface AnyScenario {
    readonly name: string;
    readonly covers: string;
    /** Runs up to `runs` schedules. Returns the first one with findings, shrunk; `undefined` if there is none. */
    readonly findCounterexample: (options: SearchOptions) => Counterexample | undefined;
}

/** How to search the schedules of a scenario for a counterexample. */
export interface SearchOptions {
    readonly check: Checker;
    readonly overrides: SafeguardOverrides;
    /** Seed of the generator; the same seed gives the same schedules. */
    readonly seed: number;
    /** Number of schedules to run. */
    readonly runs: number;
}

/** A schedule that violates a guarantee. */
export interface Counterexample {
    readonly schedule: unknown;
    readonly findings: readonly string[];
    /** Number of schedules run up to and including this one, not counting those run to shrink it. */
    readonly runs: number;
}
