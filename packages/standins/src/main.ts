/** Starts one stand-in and runs until a signal ends it. */
import { command, number, option, optional, run, string, subcommands } from "cmd-ts";
import { serveEngine } from "./commands/serveEngine.js";
import { servePlatform } from "./commands/servePlatform.js";
import { serveService } from "./commands/serveService.js";
import type { RunningStandin } from "./commands/serveStandin.js";

const port = option({
    long: "port",
    type: number,
    defaultValue: () => 0,
    description: "port on 127.0.0.1; 0 takes a free one",
});

function printReady(name: string, standin: RunningStandin): void {
    process.stdout.write(`${JSON.stringify({ ready: name, port: standin.port })}\n`);
}

const engine = command({
    name: "engine",
    args: {
        port,
        id: option({ long: "id", type: string }),
        model: option({ long: "model", type: optional(string), description: "name@version of the loaded model" }),
        memoryTokens: option({ long: "memory-tokens", type: number, defaultValue: () => 400_000 }),
    },
    handler: async args => {
        const [name, version] = (args.model ?? "").split("@");
        const models = name === undefined || name === "" ? [] : [{ name, version: version ?? "1" }];
        printReady(
            args.id,
            await serveEngine({ endpointId: args.id, port: args.port, memoryTokens: args.memoryTokens, models }),
        );
    },
});

const service = command({
    name: "service",
    args: { port, id: option({ long: "id", type: string }) },
    handler: async args => printReady(args.id, await serveService({ port: args.port })),
});

const platform = command({
    name: "platform",
    args: { port },
    handler: async args => printReady("platform", await servePlatform({ port: args.port })),
});

await run(subcommands({ name: "standin", cmds: { engine, service, platform } }), process.argv.slice(2));
