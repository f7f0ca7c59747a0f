/** Mutations for `--break`: each disables one safeguard, and the checker of the named proof has to detect that. */
import type { SafeguardOverrides } from "./proof.js";

export interface Mutation {
    /** Value of `--break`. */
    readonly name: string;
    /** Name of the proof that fails while the safeguard is disabled. */
    readonly proofName: string;
    readonly overrides: Partial<SafeguardOverrides>;
}

export const mutations: readonly Mutation[] = [
    { name: "no-deadline-check", proofName: "in-time", overrides: { call: { deadlineCheck: false } } },
    { name: "skip-final-clock-check", proofName: "in-time", overrides: { call: { finalClockCheck: false } } },
    { name: "skip-reserve", proofName: "at-most-once", overrides: { call: { reserve: false } } },
    { name: "rerun-after-lapse", proofName: "at-most-once", overrides: { call: { protectStarted: false } } },
    { name: "sweep-early", proofName: "at-most-once", overrides: { retentionMs: 0 } },
    { name: "claim-not-run", proofName: "not-run", overrides: { call: { accurateNotRun: false } } },
    { name: "ignore-fingerprint", proofName: "whole-answers", overrides: { call: { fingerprintCheck: false } } },
    { name: "accept-late-token", proofName: "whole-streams", overrides: { acceptLateTokens: true } },
    { name: "accept-unterminated", proofName: "whole-streams", overrides: { acceptUnterminated: true } },
    { name: "no-progress-limit", proofName: "silent-connections", overrides: { noProgressLimit: true } },
    { name: "exit-without-drain", proofName: "planned-stop", overrides: { exitWithoutDrain: true } },
    { name: "keep-orphans", proofName: "memory", overrides: { keepOrphans: true } },
    { name: "deny-ownership", proofName: "memory", overrides: { denyOwnership: true } },
    { name: "accept-lower-revision", proofName: "configuration", overrides: { adoptLower: true } },
    { name: "claim-not-applied", proofName: "configuration", overrides: { claimNotApplied: true } },
    { name: "ignore-reclaim", proofName: "reclaim", overrides: { lending: { obeyReclaim: false } } },
    { name: "ignore-stop", proofName: "reclaim", overrides: { lending: { obeyStops: false } } },
    { name: "ignore-withdrawal", proofName: "reclaim", overrides: { lending: { obeyWithdrawal: false } } },
    { name: "ignore-silence", proofName: "reclaim", overrides: { lending: { obeyMaxSilence: false } } },
    { name: "trust-arrival-time", proofName: "reclaim", overrides: { trustArrival: true } },
    { name: "forget-heartbeats", proofName: "partition", overrides: { ignoreHeartbeats: true } },
    { name: "drop-unreachable", proofName: "entitlements", overrides: { dropUnreachable: true } },
];
