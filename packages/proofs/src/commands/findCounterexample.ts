import fc from "fast-check";
import { checkComplete } from "../checkers/checkComplete.js";
import type { AnyScenario, Checker, Counterexample, Scenario, SearchOptions, Switches } from "../model/proof.js";

/** One wrong state of a host can contradict a promise at every later event. */
const MAX_FINDINGS = 5;

/** Hides the schedule type, so that scenarios of different types fit into one list. */
export const buildScenario = <S>(scenario: Scenario<S>): AnyScenario => ({
    name: scenario.name,
    covers: scenario.covers,
    findCounterexample: options => findCounterexample(scenario, options),
});

/** Runs generated schedules until one contradicts the promise or has a gap in its history, and shrinks that one. */
export function findCounterexample<S>(
    scenario: Scenario<S>,
    { check, switches, seed, runs }: SearchOptions,
): Counterexample | undefined {
    const property = fc.property(
        scenario.schedules,
        schedule => checkSchedule(scenario, schedule, check, switches).length === 0,
    );
    const details = fc.check(property, { seed, numRuns: runs });
    if (!details.failed) {
        return undefined;
    }
    const schedule = details.counterexample?.[0];
    const findings = schedule === undefined
        ? ["the search was interrupted"]
        : checkSchedule(scenario, schedule, check, switches);
    return { schedule, findings, runs: details.numRuns };
}

/** Findings of one schedule. An exception in the code under proof is a finding too. */
export function checkSchedule<S>(scenario: Scenario<S>, schedule: S, check: Checker, switches: Switches): string[] {
    try {
        const history = scenario.run(schedule, switches);
        const gaps = checkComplete(history);
        return (gaps.length > 0 ? gaps : check(history)).slice(0, MAX_FINDINGS);
    }
    catch (error) {
        return [`the run ends with ${String(error)}`];
    }
}
