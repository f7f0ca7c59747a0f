import { formatFinding } from "@currantrill/core";
import { type CollectedSignals, exitCodes, handleStopSignals } from "@currantrill/lifecycle";
import { parseHostSettings } from "@currantrill/settings";
import { command, option, run, string } from "cmd-ts";
import { readFileSync } from "node:fs";
import { startHost } from "../startHost.js";

/** Runs the host daemon. Shuts down gracefully on SIGTERM and SIGINT; SIGHUP is logged, since settings are read once. */
export async function runDaemon(args: string[], signals: CollectedSignals): Promise<void> {
    const daemon = command({
        name: "currantrilld",
        description: "Serves prompts and service calls from borrowed endpoints.",
        args: {
            settings: option({ long: "settings", type: string, description: "TOML file with the host's settings" }),
        },
        handler: ({ settings }) => startDaemon(settings, signals),
    });
    await run(daemon, args);
}

async function startDaemon(path: string, signals: CollectedSignals): Promise<void> {
    // A start that hangs must still end on a signal; the host has taken no work then.
    signals.setHandler(signal => {
        if (signal !== "SIGHUP") {
            process.stderr.write(`currantrilld: stopped by ${signal} during the start\n`);
            process.exit(exitCodes.stopped);
        }
    });
    const parsed = parseHostSettings(readFileSync(path, "utf8"), path);
    if (!parsed.ok) {
        parsed.findings.forEach(finding => process.stderr.write(`${formatFinding(finding)}\n`));
        process.exit(exitCodes.invalidSettings);
    }
    const host = await startHost(parsed.value);
    const { log } = host.context;
    const exit = (): void => process.exit(exitCodes.stopped);
    process.on("SIGHUP", () => log.info("host: settings are read at the start only, SIGHUP changes nothing"));
    handleStopSignals({ source: process, log, drain: host.drain, exit });
    signals.close();
}
