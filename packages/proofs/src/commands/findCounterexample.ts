import fc from "fast-check";
import { checkComplete } from "../checkers/checkComplete.js";
import type {
    AnyScenario,
    Checker,
    Counterexample,
    SafeguardOverrides,
    Scenario,
    SearchOptions,
} from "../model/proof.js";

/** Limit per schedule, because a single faulty state can produce a finding at every later event. */
const MAX_FINDINGS = 5;

/** Hides the schedule type of a scenario, so that scenarios of different types fit into one list. */
export const buildScenario = <S>(scenario: Scenario<S>): AnyScenario => ({
    name: scenario.name,
    covers: scenario.covers,
    findCounterexample: options => findCounterexample(scenario, options),
});

/** Runs generated schedules until one violates the guarantee or has a gap in its history, and shrinks that one. */
export function findCounterexample<S>(
    scenario: Scenario<S>,
    { check, overrides, seed, runs }: SearchOptions,
): Counterexample | undefined {
    const property = fc.property(
        scenario.schedules,
        schedule => evaluateSchedule(scenario, schedule, check, overrides).length === 0,
    );
    const details = fc.check(property, { seed, numRuns: runs });
    if (!details.failed) {
        return undefined;
    }
    const schedule = details.counterexample?.[0];
    const findings = schedule === undefined
        ? ["the search was interrupted"]
        : evaluateSchedule(scenario, schedule, check, overrides);
    return { schedule, findings, runs: details.numRuns };
}

/** Runs one schedule and returns its findings. An exception in the code under test is a finding too. */
export function evaluateSchedule<S>(
    scenario: Scenario<S>,
    schedule: S,
    check: Checker,
    overrides: SafeguardOverrides,
): string[] {
    try {
        const history = scenario.run(schedule, overrides);
        const gaps = checkComplete(history);
        return (gaps.length > 0 ? gaps : check(history)).slice(0, MAX_FINDINGS);
    }
    catch (error) {
        return [`the run ends with ${String(error)}`];
    }
}
