/** Command line of the demo (`npm start`). It starts a whole system on loopback. */
import { command, flag, option, optional, run, string } from "cmd-ts";
import { writeFileSync } from "node:fs";
import { runOnce } from "./commands/runOnce.js";
import { startSystem } from "./commands/startSystem.js";
import { getOperatorUrl, getUrl, listProcesses, type RunningSystem } from "./model/runningSystem.js";
import { DEMO_MODEL, DEMO_WORKSPACES, OPERATOR_KEY } from "./model/systemOptions.js";

const demo = command({
    name: "demo",
    description: "Starts a whole system on loopback and stays until Ctrl-C.",
    args: {
        once: flag({ long: "once", description: "send one request of each kind, check the answers, drain and exit" }),
        topology: option({
            long: "topology",
            type: optional(string),
            description: "file to write the topology to, as JSON",
        }),
    },
    handler: async args => {
        const interruption = new AbortController();
        const interrupted = new Promise<void>(resolve =>
            interruption.signal.addEventListener("abort", () => resolve())
        );
        const interrupt = (): void => interruption.abort(new Error("interrupted"));
        process.once("SIGINT", interrupt);
        process.once("SIGTERM", interrupt);
        const system = await startSystem({ signal: interruption.signal });
        try {
            if (args.topology !== undefined) {
                writeFileSync(args.topology, `${JSON.stringify(system.topology, undefined, 4)}\n`);
            }
            if (args.once) {
                const failures = await Promise.race([runOnce(system), interrupted.then(() => ["interrupted"])]);
                process.exitCode = failures.length === 0 ? 0 : 1;
                return;
            }
            printUsage(system);
            await interrupted;
            await system.stop();
        }
        finally {
            await system.kill();
        }
    },
});

/** Prints commands that try out the running system. */
function printUsage(system: RunningSystem): void {
    const [host] = listProcesses(system, "host");
    const name = host?.plan.name ?? "";
    const body = JSON.stringify({ model: DEMO_MODEL, prompt: "Is water mint hardy?", max_tokens: 8 });
    process.stdout.write(`${listProcesses(system, "host").length} hosts are ready; Ctrl-C stops them. Try:\n`);
    process.stdout.write(
        `  curl -s ${getUrl(system, name)}/v1/completions -H 'Authorization: Bearer ${DEMO_WORKSPACES[0].key}'`
            + ` -H 'Content-Type: application/json' -d '${body}'\n`,
    );
    const operators = getOperatorUrl(system, name).replace("http://", "");
    process.stdout.write(
        `For operators:\n  export CURRANTRILL_HOSTS=${operators} CURRANTRILL_OPERATOR_KEY=${OPERATOR_KEY}\n`,
    );
}

await run(demo, process.argv.slice(2)).catch((error: unknown) => {
    process.stderr.write(`demo: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = 1;
});
