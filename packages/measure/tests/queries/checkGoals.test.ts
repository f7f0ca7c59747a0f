import { describe, expect, it } from "vitest";
import { checkGoals, listScenarios, runWithReference, smallMatrixOptions, userProfiles } from "../../src/index.js";

/** Far above the usual run time, so that the test does not fail on a busy machine. */
const TIMEOUT_MS = 600_000;

/** Guards against changes that make the default policy worse than the baselines. */
describe("adaptive is better than random and least-loaded in the small measurement", () => {
    it.each(userProfiles)("$name", user => {
        const summaries = listScenarios({ ...smallMatrixOptions, users: [user], faults: ["none"] }).map(
            runWithReference,
        );
        const missed = checkGoals(summaries).filter(goal => !goal.met && goal.goal.includes("better than"));
        expect(missed).toEqual([]);
    }, TIMEOUT_MS);
});
