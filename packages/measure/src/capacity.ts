#!/usr/bin/env node
/** Measures what the control plane costs on real daemons and calculates it at the target. */
import { boolean, command, flag, option, optional, run, string } from "cmd-ts";
import { writeFileSync } from "node:fs";
import { measureCore } from "./capacity/commands/measureCore.js";
import { measureSize, type SizeOptions } from "./capacity/commands/measureSize.js";
import type { SizeSample } from "./capacity/model/sample.js";
import { checkOrderings } from "./capacity/queries/checkOrderings.js";
import { renderCapacity, renderCoreTimes } from "./capacity/queries/renderCapacity.js";
import { measureDecisions } from "./commands/measureDecisions.js";
import { renderDecisionTimes } from "./queries/renderTables.js";

const base = { addedEndpoints: 60, addedWorkspaces: 200, settleMs: 14_000, windowMs: 10_000 };
const smallBase = { addedEndpoints: 20, addedWorkspaces: 20, settleMs: 12_000, windowMs: 5_000 };

/** Sizes of one group run at the same time, to end within three minutes. */
const groups: readonly (readonly SizeOptions[])[] = [
    [{ ...base, hosts: 6 }, { ...base, hosts: 12 }, { ...base, hosts: 24 }],
    [{ ...base, hosts: 48 }],
];
const smallGroups: readonly (readonly SizeOptions[])[] = [
    [{ ...smallBase, hosts: 3 }, { ...smallBase, hosts: 12 }],
];

async function measureGroups(sizes: readonly (readonly SizeOptions[])[]): Promise<SizeSample[]> {
    const samples: SizeSample[] = [];
    for (const group of sizes) {
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
        const samples = await measureGroups(small ? smallGroups : groups);
        print(renderCapacity(samples));
        print(renderCoreTimes(measureCore()));
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
