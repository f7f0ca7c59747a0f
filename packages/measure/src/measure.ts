#!/usr/bin/env node
/** Simulates the routing policies under load and faults, in virtual time with fixed seeds. */
import { boolean, command, flag, number, option, optional, run, string } from "cmd-ts";
import { readFileSync, writeFileSync } from "node:fs";
import { measureDecisions } from "./commands/measureDecisions.js";
import { runInWorkers } from "./commands/runInWorkers.js";
import type { RunSummary } from "./model/runSummary.js";
import { userProfiles } from "./model/userProfile.js";
import { checkGoals } from "./queries/checkGoals.js";
import { compareSummaries } from "./queries/compareSummaries.js";
import { defaultMatrixOptions, listScenarios, smallMatrixOptions } from "./queries/listScenarios.js";
import { renderDecisionTimes, renderGoals, renderResults } from "./queries/renderTables.js";

const print = (text: string): boolean => process.stdout.write(`${text}\n\n`);

const readSummaries = (file: string): RunSummary[] =>
    readFileSync(file, "utf8").split("\n").filter(line => line !== "").map(line => JSON.parse(line) as RunSummary);

const measure = command({
    name: "measure",
    description: "Runs the routing policies side by side and compares them with the goals.",
    args: {
        out: option({ long: "out", type: optional(string), description: "file for the results as JSON lines" }),
        against: option({ long: "against", type: optional(string), description: "earlier file to compare with" }),
        seed: option({ long: "seed", type: number, defaultValue: () => defaultMatrixOptions.seed }),
        small: flag({ long: "small", type: boolean, description: "fewer and shorter runs, for CI" }),
    },
    handler: async ({ out, against, seed, small }) => {
        const options = small ? smallMatrixOptions : defaultMatrixOptions;
        const summaries = await runInWorkers(listScenarios({ ...options, seed }));
        print(`seed ${seed}, ${options.durationMs / 1_000} s of arrivals in each run`);
        print(renderResults(summaries, new Map(userProfiles.map(user => [user.name, user.shortRequestWeight]))));
        print(renderGoals(checkGoals(summaries)));
        print(renderDecisionTimes(measureDecisions()));
        if (out !== undefined) {
            writeFileSync(out, summaries.map(summary => `${JSON.stringify(summary)}\n`).join(""));
        }
        if (against !== undefined) {
            print(compareSummaries(readSummaries(against), summaries));
        }
    },
});

await run(measure, process.argv.slice(2));
