import type { RunSummary } from "../model/runSummary.js";
import type { Scenario } from "../model/scenario.js";
import { collectSummary } from "../queries/collectSummary.js";
import { runScenario } from "../simulation/commands/runScenario.js";

/** Runs one scenario with and without long requests. */
export function runWithReference(scenario: Scenario): RunSummary {
    return collectSummary(scenario, runScenario(scenario), runScenario({ ...scenario, withLong: false }));
}
