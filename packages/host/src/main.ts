#!/usr/bin/env node
/** Entry point of the host daemon `currantrilld`. Shuts down gracefully on SIGTERM and SIGINT. */
import { formatFinding } from "@currantrill/core";
import { parseHostSettings } from "@currantrill/settings";
import { command, option, run, string } from "cmd-ts";
import { readFileSync } from "node:fs";
import { startHost } from "./startHost.js";

const EXIT_BAD_INPUT = 2;

const daemon = command({
    name: "currantrilld",
    description: "Serves prompts and service calls from borrowed endpoints.",
    args: { settings: option({ long: "settings", type: string, description: "TOML file with the host's settings" }) },
    handler: async args => {
        const parsed = parseHostSettings(readFileSync(args.settings, "utf8"), args.settings);
        if (!parsed.ok) {
            parsed.findings.forEach(finding => process.stderr.write(`${formatFinding(finding)}\n`));
            process.exit(EXIT_BAD_INPUT);
        }
        const host = await startHost(parsed.value);
        const stop = (): void => void host.drain().then(() => process.exit(0));
        process.once("SIGTERM", stop);
        process.once("SIGINT", stop);
    },
});

await run(daemon, process.argv.slice(2));
