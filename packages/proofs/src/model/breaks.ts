/** Mechanisms that `--break` switches off, each with the promise whose checker has to notice it. */
import type { Switches } from "./proof.js";

export interface Break {
    readonly name: string;
    readonly promise: string;
    readonly switches: Partial<Switches>;
}

export const breaks: readonly Break[] = [
    { name: "no-deadline-check", promise: "in-time", switches: { call: { deadlineCheck: false } } },
    { name: "skip-final-clock-check", promise: "in-time", switches: { call: { finalClockCheck: false } } },
    { name: "skip-reserve", promise: "at-most-once", switches: { call: { reserve: false } } },
    { name: "rerun-after-lapse", promise: "at-most-once", switches: { call: { keepStarted: false } } },
    { name: "sweep-early", promise: "at-most-once", switches: { retentionMs: 0 } },
    { name: "claim-not-run", promise: "not-run", switches: { call: { honestNotRun: false } } },
    { name: "ignore-fingerprint", promise: "whole-answers", switches: { call: { fingerprintCheck: false } } },
    { name: "accept-late-token", promise: "whole-streams", switches: { acceptLateTokens: true } },
    { name: "accept-unterminated", promise: "whole-streams", switches: { acceptUnterminated: true } },
    { name: "no-progress-limit", promise: "silent-connections", switches: { noProgressLimit: true } },
    { name: "exit-without-drain", promise: "planned-stop", switches: { exitWithoutDrain: true } },
    { name: "keep-orphans", promise: "memory", switches: { keepOrphans: true } },
    { name: "deny-ownership", promise: "memory", switches: { denyOwnership: true } },
    { name: "accept-lower-revision", promise: "configuration", switches: { adoptLower: true } },
    { name: "claim-not-applied", promise: "configuration", switches: { claimNotApplied: true } },
    { name: "ignore-reclaim", promise: "reclaim", switches: { lending: { obeyReclaim: false } } },
    { name: "ignore-stop", promise: "reclaim", switches: { lending: { obeyStops: false } } },
    { name: "ignore-withdrawal", promise: "reclaim", switches: { lending: { obeyReports: false } } },
    { name: "ignore-silence", promise: "reclaim", switches: { lending: { obeySilence: false } } },
    { name: "trust-arrival-time", promise: "reclaim", switches: { trustArrival: true } },
    { name: "forget-heartbeats", promise: "partition", switches: { ignoreHeartbeats: true } },
];
