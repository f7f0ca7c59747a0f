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
    { name: "exit-without-drain", promise: "planned-stop", switches: { exitWithoutDrain: true } },
];
