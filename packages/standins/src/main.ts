/**
 * Command line of the stand-ins, the simulated servers of tests and of the demo. Starts one stand-in and runs until a
 * signal ends the process. The first line on standard output is JSON: `ready` (id or kind of the stand-in) and `port`.
 */
import { command, flag, number, option, run, string, subcommands } from "cmd-ts";
import { serveService } from "./commands/serveService.js";
import type { RunningStandin } from "./commands/serveStandin.js";
import { serveWeightStore } from "./commands/serveWeightStore.js";
import { serveEngine } from "./engine/commands/serveEngine.js";
import { defaultEngineOptions, type LoadedModel } from "./engine/model/engineOptions.js";
import { servePlatform } from "./platform/commands/servePlatform.js";

const numberOption = (long: string, value: number) => option({ long, type: number, defaultValue: () => value });
const textOption = (long: string, value: string) => option({ long, type: string, defaultValue: () => value });
const port = numberOption("port", 0);
const id = option({ long: "id", type: string });

function printReady(name: string, standin: RunningStandin): void {
    process.stdout.write(`${JSON.stringify({ ready: name, port: standin.port })}\n`);
}

/** Parses `name@version,name@version`. A missing version is `1`. */
const parseModels = (text: string): LoadedModel[] =>
    text.split(",").filter(specification => specification !== "").map(specification => {
        const [name = "", version = "1"] = specification.split("@");
        return { name, version };
    });

const engine = command({
    name: "engine",
    args: {
        port,
        id,
        models: textOption("models", ""),
        weightStoreUrl: textOption("weight-store", ""),
        ignoresFencing: flag({ long: "ignores-fencing" }),
        memoryTokens: numberOption("memory-tokens", defaultEngineOptions.memoryTokens),
        slots: numberOption("slots", defaultEngineOptions.slots),
        stepTokens: numberOption("step-tokens", defaultEngineOptions.stepTokens),
        prefillTokensPerSecond: numberOption("prefill-rate", defaultEngineOptions.prefillTokensPerSecond),
        decodeTokensPerSecond: numberOption("decode-rate", defaultEngineOptions.decodeTokensPerSecond),
        kvTokensPerSecond: numberOption("kv-rate", defaultEngineOptions.kvTokensPerSecond),
        reportIntervalMs: numberOption("report-interval-ms", defaultEngineOptions.reportIntervalMs),
        cacheEventLossFraction: numberOption("cache-event-loss", defaultEngineOptions.cacheEventLossFraction),
        loadMs: numberOption("load-ms", defaultEngineOptions.loadMs),
        seed: numberOption("seed", defaultEngineOptions.seed),
    },
    handler: async ({ id: endpointId, models, ignoresFencing, ...rest }) =>
        printReady(
            endpointId,
            await serveEngine({ ...rest, endpointId, models: parseModels(models), checksFencing: !ignoresFencing }),
        ),
});

const service = command({
    name: "service",
    args: { port, id, answerDelayMs: numberOption("answer-delay-ms", 5) },
    handler: async ({ id: name, ...rest }) => printReady(name, await serveService(rest)),
});

const platform = command({
    name: "platform",
    args: {
        port,
        hostListLagMs: numberOption("host-list-lag-ms", 1_000),
        writesPerSecond: numberOption("writes-per-second", 500),
        readsPerSecond: numberOption("reads-per-second", 2_000),
    },
    handler: async args => printReady("platform", await servePlatform(args)),
});

const weightStore = command({
    name: "weight-store",
    args: {
        port,
        fetchesPerSecond: numberOption("fetches-per-second", 4),
        fetchMs: numberOption("fetch-ms", 200),
    },
    handler: async args => printReady("weight-store", await serveWeightStore(args)),
});

const programs = subcommands({ name: "standin", cmds: { engine, service, platform, "weight-store": weightStore } });
await run(programs, process.argv.slice(2));
