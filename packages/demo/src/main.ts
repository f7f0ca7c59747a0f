/** The demo: `npm start`. */
import { command, flag, option, optional, run, string } from "cmd-ts";
import { writeFileSync } from "node:fs";
import { runOnce } from "./commands/runOnce.js";
import { DEMO_MODEL, startSystem } from "./commands/startSystem.js";

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
        const system = await startSystem();
        if (args.topology !== undefined) {
            writeFileSync(args.topology, `${JSON.stringify(system.topology, undefined, 2)}\n`);
        }
        if (args.once) {
            const failures = await runOnce(system.topology);
            await system.stop();
            process.exitCode = failures.length === 0 ? 0 : 1;
            return;
        }
        const host = system.topology.processes.find(entry => entry.role === "host");
        process.stdout.write(
            `Try:\n  curl -s http://${
                host?.address ?? ""
            }/v1/completions -H 'Authorization: Bearer demo-desk-key' -H 'Content-Type: application/json' -d '{"model":"${DEMO_MODEL}","prompt":"Is water mint hardy?","max_tokens":8}'\n`,
        );
        const stop = (): void => void system.stop().then(() => process.exit(0));
        process.once("SIGINT", stop);
        process.once("SIGTERM", stop);
    },
});

await run(demo, process.argv.slice(2));
