import { describe, expect, it } from "vitest";
import { checkGoals, listScenarios, runWithReference, smallMatrixOptions, userProfiles } from "../../src/index.js";

/** Guards against a change after which the product's policy no longer beats the baselines. */
describe("adaptive is ahead of random and least-loaded in the small measurement", () => {
    it.each(userProfiles)("$name", user => {
        const summaries = listScenarios({ ...smallMatrixOptions, users: [user], faults: ["none"] }).map(
            runWithReference,
        );
        const missed = checkGoals(summaries).filter(goal => !goal.met && goal.goal.includes("better than"));
        expect(missed).toEqual([]);
    });
});
