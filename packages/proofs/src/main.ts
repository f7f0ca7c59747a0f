/** `npm run proofs`: checks each guarantee on generated schedules of the core and prints one row for each. */
import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { appendFileSync, writeFileSync } from "node:fs";
import { allProofs, type ProofRow, runProof } from "./commands/runProofs.js";
import { mutations } from "./model/mutations.js";
import { noOverrides } from "./model/proof.js";

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
        process.exitCode = input.breaks ? printMutations() : runAll(input);
    },
});

function printMutations(): number {
    for (const { name, proofName } of mutations) {
        console.log(`${name.padEnd(26)} caught by ${proofName}`);
    }
    return 0;
}

/** Returns the exit code: 0 if every guarantee holds, 1 if one does not, 2 if the value of `--break` is unknown. */
function runAll(input: ProofArguments): number {
    const mutation = mutations.find(entry => entry.name === input.break);
    if (input.break !== undefined && mutation === undefined) {
        console.error(`proofs: unknown break "${input.break}"; --breaks lists the names`);
        return 2;
    }
    if (input.json !== undefined) {
        writeFileSync(input.json, "");
    }
    const options = {
        overrides: { ...noOverrides, ...mutation?.overrides },
        seed: input.seed,
        schedules: input.schedules,
    };
    let failed = 0;
    for (const proof of allProofs) {
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
