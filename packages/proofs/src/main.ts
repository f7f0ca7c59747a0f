/** `npm run proofs`: runs generated schedules against the core and reports one row for each promise. */
import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { appendFileSync, writeFileSync } from "node:fs";
import { promiseProofs, type ProofRow, runProof } from "./commands/runProofs.js";
import { breaks } from "./model/breaks.js";
import { noSwitches } from "./model/proof.js";

const DEFAULT_SCHEDULES = 2_000;
const DEFAULT_SEED = 20_260_301;

interface ProofArguments {
    readonly json: string | undefined;
    readonly break: string | undefined;
    readonly breaks: boolean;
    readonly schedules: number;
    readonly seed: number;
}

const main = command({
    name: "proofs",
    description: "Checks the promises on generated schedules under virtual time.",
    args: {
        json: option({ type: optional(string), long: "json", description: "Write one JSON line for each promise." }),
        break: option({ type: optional(string), long: "break", description: "Switch one mechanism off." }),
        breaks: flag({ long: "breaks", description: "List the mechanisms that can be switched off." }),
        schedules: option({ type: number, long: "schedules", defaultValue: () => DEFAULT_SCHEDULES }),
        seed: option({ type: number, long: "seed", defaultValue: () => DEFAULT_SEED }),
    },
    handler: input => {
        process.exitCode = input.breaks ? printBreaks() : runAll(input);
    },
});

function printBreaks(): number {
    for (const { name, promise } of breaks) {
        console.log(`${name.padEnd(26)} caught by ${promise}`);
    }
    return 0;
}

/** Exit codes: 0 if every promise holds, 1 if not, 2 for an unknown break. */
function runAll(input: ProofArguments): number {
    const broken = breaks.find(entry => entry.name === input.break);
    if (input.break !== undefined && broken === undefined) {
        console.error(`proofs: unknown break "${input.break}"; --breaks lists the names`);
        return 2;
    }
    if (input.json !== undefined) {
        writeFileSync(input.json, "");
    }
    const options = {
        switches: { ...noSwitches, ...broken?.switches },
        seed: input.seed,
        schedules: input.schedules,
    };
    let failed = 0;
    for (const proof of promiseProofs) {
        const row = runProof(proof, options);
        printRow(row);
        if (input.json !== undefined) {
            appendFileSync(input.json, `${JSON.stringify(row)}\n`);
        }
        failed += row.verdict === "holds" ? 0 : 1;
    }
    return failed === 0 ? 0 : 1;
}

function printRow(row: ProofRow): void {
    console.log([
        row.verdict.toUpperCase().padEnd(6),
        row.name.padEnd(18),
        row.checker.padEnd(22),
        row.scenarios.join("; ").padEnd(24),
        `${row.schedules} schedules`.padEnd(16),
        `seed ${row.seed}`.padEnd(16),
        row.promise,
    ].join("  "));
    row.findings.slice(0, 3).forEach(finding => console.log(`        ${finding}`));
    if (row.counterexample !== undefined) {
        console.log(`        schedule ${JSON.stringify(row.counterexample)}`);
    }
}

await run(main, process.argv.slice(2));
