#!/usr/bin/env node
/** Measures the cost of the control plane on real host processes and extrapolates it to the target size. */
import { boolean, command, flag, option, optional, run, string } from "cmd-ts";
import { writeFileSync } from "node:fs";
import { measureCoreFunctions } from "./capacity/commands/measureCoreFunctions.js";
import { measureSize, type SizeOptions } from "./capacity/commands/measureSize.js";
import type { SizeSample } from "./capacity/model/sample.js";
import { checkOrderings } from "./capacity/queries/checkOrderings.js";
import { renderCapacity, renderFunctionTimes } from "./capacity/queries/renderCapacity.js";
import { measureDecisions } from "./commands/measureDecisions.js";
import { renderDecisionTimes } from "./queries/renderTables.js";

const sizeDefaults = { addedEndpoints: 60, addedWorkspaces: 200, settleMs: 14_000, windowMs: 10_000 };
const smallSizeDefaults = { addedEndpoints: 20, addedWorkspaces: 20, settleMs: 12_000, windowMs: 5_000 };

/** The systems of a group are measured concurrently, so that the whole run takes less than three minutes. */
const sizeGroups: readonly (readonly SizeOptions[])[] = [
    [{ ...sizeDefaults, hosts: 6 }, { ...sizeDefaults, hosts: 12 }, { ...sizeDefaults, hosts: 24 }],
    [{ ...sizeDefaults, hosts: 48 }],
];
const smallSizeGroups: readonly (readonly SizeOptions[])[] = [
    [{ ...smallSizeDefaults, hosts: 3 }, { ...smallSizeDefaults, hosts: 12 }],
];

async function measureGroups(groups: readonly (readonly SizeOptions[])[]): Promise<SizeSample[]> {
    const samples: SizeSample[] = [];
    for (const group of groups) {
        samples.push(...await Promise.all(group.map(measureSize)));
    }
    return samples;
}

const print = (text: string): boolean => process.stdout.write(`${text}\n\n`);

const capacity = command({
    name: "capacity",
    description: "Measures the control plane on 6 to 48 hosts on loopback and calculates its cost at the target.",
    args: {
        out: option({ long: "out", type: optional(string), description: "file for the samples as JSON lines" }),
        small: flag({
            long: "small",
            type: boolean,
            description: "two small sizes; fails if an ordering does not hold",
        }),
    },
    handler: async ({ out, small }) => {
        const samples = await measureGroups(small ? smallSizeGroups : sizeGroups);
        print(renderCapacity(samples));
        print(renderFunctionTimes(measureCoreFunctions()));
        print(renderDecisionTimes(measureDecisions()));
        if (out !== undefined) {
            writeFileSync(out, samples.map(sample => `${JSON.stringify(sample)}\n`).join(""));
        }
        const failed = checkOrderings(samples);
        failed.forEach(name => print(`ordering does not hold: ${name}`));
        process.exitCode = small && failed.length > 0 ? 1 : 0;
    },
});

await run(capacity, process.argv.slice(2));
