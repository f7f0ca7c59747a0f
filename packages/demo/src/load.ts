/** Command line of the load tool (`npm run load`). It sends an open-loop load to a system and checks the answers. */
import { requestJson } from "@currantrill/http";
import { ledgerSchema, type Topology, topologySchema } from "@currantrill/protocol";
import { command, number, option, optional, run, string } from "cmd-ts";
import { closeSync, openSync, readFileSync, writeSync } from "node:fs";
import { runLoad } from "./commands/runLoad.js";
import { startSystem } from "./commands/startSystem.js";
import type { LoadRecord } from "./model/loadRecord.js";
import { buildSummary } from "./queries/buildSummary.js";
import { planLoad } from "./queries/planLoad.js";

const numberOption = (long: string, value: number, description: string) =>
    option({ long, type: number, defaultValue: () => value, defaultValueIsSerializable: true, description });

const load = command({
    name: "load",
    description: "Sends prompts and service calls at times that do not depend on the answers, and checks each answer.",
    args: {
        topology: option({
            long: "topology",
            type: optional(string),
            description: "topology file of a running demo; without it the tool starts a system",
        }),
        history: option({ long: "history", type: optional(string), description: "file for one JSON line per request" }),
        seed: numberOption("seed", 1, "seed of the requests and their times"),
        seconds: numberOption("seconds", 10, "duration of the arrivals"),
        rate: numberOption("rate", 20, "requests per second"),
        maxTokens: numberOption("max-tokens", 16, "tokens of each answer"),
        timeoutMs: numberOption("timeout-ms", 30_000, "timeout of each request"),
    },
    handler: async args => {
        const system = args.topology === undefined ? await startSystem() : undefined;
        try {
            const topology = system?.topology ?? readTopology(args.topology ?? "");
            const records = await runPlannedLoad(topology, args);
            const summary = buildSummary(records, await readServiceLedger(topology));
            summary.lines.forEach(line => process.stdout.write(`${line}\n`));
            summary.failures.forEach(failure => process.stdout.write(`FAILED ${failure}\n`));
            process.exitCode = summary.failures.length === 0 ? 0 : 1;
        }
        finally {
            await system?.kill();
        }
    },
});

/** Parsed command-line arguments of a run. */
interface LoadArgs {
    readonly history: string | undefined;
    readonly seed: number;
    readonly seconds: number;
    readonly rate: number;
    readonly maxTokens: number;
    readonly timeoutMs: number;
}

/** Fraction of the requests that are service calls; the others are prompts. */
const CALL_FRACTION = 0.1;
/** Fraction of the service calls that are sent a second time, to another host. */
const DUPLICATE_FRACTION = 0.2;

/** Plans and sends the load. Resolves to the records, which are also written to the history file if there is one. */
async function runPlannedLoad(topology: Topology, args: LoadArgs): Promise<LoadRecord[]> {
    const requests = planLoad({
        seed: args.seed,
        durationMs: args.seconds * 1_000,
        requestsPerSecond: args.rate,
        callFraction: CALL_FRACTION,
        duplicateFraction: DUPLICATE_FRACTION,
        maxTokens: args.maxTokens,
    });
    const history = args.history === undefined ? undefined : openSync(args.history, "w");
    const records: LoadRecord[] = [];
    const onRecord = (record: LoadRecord): void => {
        records.push(record);
        if (history !== undefined) {
            writeSync(history, `${JSON.stringify(record)}\n`);
        }
    };
    await runLoad({ topology, requests, timeoutMs: args.timeoutMs, onRecord });
    if (history !== undefined) {
        closeSync(history);
    }
    return records;
}

const readTopology = (file: string): Topology => topologySchema.parse(JSON.parse(readFileSync(file, "utf8")));

async function readServiceLedger(topology: Topology) {
    const service = topology.processes.find(entry => entry.role === "service");
    return ledgerSchema.parse((await requestJson(`http://${service?.address ?? ""}/ledger`)).body);
}

await run(load, process.argv.slice(2));
