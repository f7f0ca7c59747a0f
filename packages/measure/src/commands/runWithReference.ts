import type { RunSummary } from "../model/runSummary.js";
import type { Scenario } from "../model/scenario.js";
import { computeSummary } from "../queries/computeSummary.js";
import { runScenario } from "../simulation/commands/runScenario.js";

/** Runs a scenario with and without long requests, and summarizes the slowdown that the long ones cause. */
export function runWithReference(scenario: Scenario): RunSummary {
    return computeSummary(scenario, runScenario(scenario), runScenario({ ...scenario, withLong: false }));
}
