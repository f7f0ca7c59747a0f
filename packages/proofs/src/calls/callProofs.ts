/** Proofs of the guarantees for single calls to a service. */
import {
    checkAtMostOnce,
    checkInTime,
    checkNotRun,
    checkPlannedStop,
    checkWholeAnswers,
} from "../checkers/checkCalls.js";
import { buildScenario } from "../commands/findCounterexample.js";
import type { Proof } from "../model/proof.js";
import { callSchedules, stableWallClockSchedules } from "./callSchedule.js";
import { runCalls } from "./runCalls.js";

const calls = buildScenario({
    name: "calls",
    covers: "3 hosts, store, service; 8 requests on 2 keys, retries, 6 faults, planned stop, sweeps over 7 days",
    schedules: callSchedules,
    run: runCalls,
});

const stableWallClocks = buildScenario({
    name: "calls, steady clocks",
    covers: "the same, but the wall clock of a suspended host does not step",
    schedules: stableWallClockSchedules,
    run: runCalls,
});

export const callProofs: readonly Proof[] = [
    {
        name: "in-time",
        guarantee: "P1 every admitted call ends by its deadline and is not sent later",
        checkerName: "checkInTime",
        check: checkInTime,
        scenarios: [stableWallClocks],
    },
    {
        name: "at-most-once",
        guarantee: "P5 a call with a key runs at most once within the retention",
        checkerName: "checkAtMostOnce",
        check: checkAtMostOnce,
        scenarios: [calls],
    },
    {
        name: "not-run",
        guarantee: "P4 what is reported as not run is never executed",
        checkerName: "checkNotRun",
        check: checkNotRun,
        scenarios: [calls],
    },
    {
        name: "whole-answers",
        guarantee: "P3 a caller receives the complete answer to its own call",
        checkerName: "checkWholeAnswers",
        check: checkWholeAnswers,
        scenarios: [calls],
    },
    {
        name: "planned-stop",
        guarantee: "P7 a planned stop interrupts no call in flight",
        checkerName: "checkPlannedStop",
        check: checkPlannedStop,
        scenarios: [calls],
    },
];
