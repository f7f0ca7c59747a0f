/** Proof of the guarantee for memory held on engines. */
import { checkMemory } from "../checkers/checkMemory.js";
import { buildScenario } from "../commands/findCounterexample.js";
import type { Proof } from "../model/proof.js";
import { memorySchedules } from "./memorySchedule.js";
import { runMemory } from "./runMemory.js";

export const memoryProofs: readonly Proof[] = [{
    name: "memory",
    guarantee: "P2 held memory returns to zero, and no running attempt loses it to a sweeper",
    checkerName: "checkMemory",
    check: checkMemory,
    scenarios: [buildScenario({
        name: "memory",
        covers: "3 hosts that also sweep, 2 engines with or without a working time to live; 6 attempts, 5 faults",
        schedules: memorySchedules,
        run: runMemory,
    })],
}];
