#!/usr/bin/env node
/** Compares placement weights on engine models, in virtual time with fixed seeds. */
import { defaultPlacementWeights, type PlacementWeights } from "@currantrill/forwarding";
import { array, command, multioption, number, option, run, string } from "cmd-ts";
import { type FleetResult, runFleet } from "./placement/commands/runFleet.js";
import { type Workload, workloads } from "./placement/model/workload.js";
import { parseVariant } from "./placement/queries/parseVariant.js";
import { renderComparison } from "./placement/queries/renderComparison.js";

const placement = command({
    name: "placement",
    description: "Runs the placement with the default weights and with variants of them, on the same arrivals.",
    args: {
        seed: option({ long: "seed", type: number, defaultValue: () => 1, description: "first seed" }),
        seeds: option({ long: "seeds", type: number, defaultValue: () => 8, description: "seeds for each workload" }),
        workload: option({
            long: "workload",
            type: string,
            defaultValue: () => "",
            description: "one workload in place of all",
        }),
        variants: multioption({
            long: "variant",
            type: array(string),
            description: "weights that differ, such as safeShare=0.6,partCost=0.03; may be repeated",
        }),
    },
    handler: args => {
        const variants: [string, PlacementWeights][] = [
            ["default", defaultPlacementWeights],
            ...args.variants.map((text): [string, PlacementWeights] => [text, parseVariant(text)]),
        ];
        const seeds = Array.from({ length: args.seeds }, (_, index) => args.seed + index);
        for (const workload of workloads.filter(each => args.workload === "" || each.name === args.workload)) {
            const results = variants.map(([name, weights]) => [name, runSeeds(workload, weights, seeds)] as const);
            process.stdout.write(`${renderComparison(workload.name, results)}\n\n`);
        }
    },
});

const runSeeds = (workload: Workload, weights: PlacementWeights, seeds: readonly number[]): FleetResult[] =>
    seeds.map(seed => runFleet(workload, weights, seed));

await run(placement, process.argv.slice(2));
