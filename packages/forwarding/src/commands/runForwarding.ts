/** Runs a forwarding host as a process: settings file, signals and exit codes. */
import {
    type CodeCacheState,
    type CollectedSignals,
    createLoopDelayMonitor,
    createStartProgress,
    endProcess,
    exitCodes,
    handleStopSignals,
    type HostSignal,
    monitorStart,
    type StartProgress,
} from "@currantrill/lifecycle";
import { createLog } from "@currantrill/logging";
import { type ForwardingSettings, parseForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import { readFileSync } from "node:fs";
import { getStartExitCode } from "../queries/getStartExitCode.js";
import { awaitSettings } from "./awaitSettings.js";
import { type ForwardingOptions, type RunningForwarding, startForwarding } from "./startForwarding.js";

/** Time limit for a settings file that is being written at the start. A wrong file is reported after this time. */
const SETTINGS_TIMEOUT_MS = 3_000;
/** Interval at which the settings file is checked, since it may change without a signal. */
const SETTINGS_CHECK_MS = 2_000;

export interface RunForwardingOptions extends Omit<ForwardingOptions, "settings" | "log"> {
    /** Path of the TOML settings file. */
    readonly settingsPath: string;
    /** Signals of the process since its first line. */
    readonly signals: CollectedSignals;
    /** Whether the program was loaded with code that was compiled before. */
    readonly codeCache: CodeCacheState;
}

/**
 * Starts a host with a settings file, and stops it on SIGTERM or SIGINT. If the settings stay
 * invalid, writes all findings to standard error and ends the process with exit code 2.
 */
export async function runForwarding(options: RunForwardingOptions): Promise<void> {
    const baseLog = createLog({ name: "currantrill" });
    baseLog.info({ codeCache: options.codeCache }, "host: program loaded");
    const progress = createStartProgress(baseLog);
    const running: { host?: RunningForwarding; } = {};
    const start = monitorStart({
        log: baseLog,
        progress,
        getExitCode: getStartExitCode,
        onUnexpectedError: () => running.host?.context.metrics.unexpectedErrors.inc(),
    });
    handleStartSignals(options.signals, baseLog, progress);
    progress.beginStep("settings");
    const read = await awaitSettings({ path: options.settingsPath, log: baseLog, timeoutMs: SETTINGS_TIMEOUT_MS });
    if (!read.ok) {
        process.stderr.write(`${read.findings.map(finding => JSON.stringify(finding)).join("\n")}\n`);
        const fields = { path: options.settingsPath };
        endProcess({ log: baseLog, code: exitCodes.invalidSettings, reason: "host: settings are invalid", fields });
        return;
    }
    const { settings, text } = read;
    const log = baseLog.child({ host: settings.host_id });
    log.level(settings.log_level);
    progress.beginStep("addresses");
    const host = await startForwarding({ ...options, settings, log }).catch(start.fail);
    if (host === undefined) {
        return;
    }
    running.host = host;
    handleStopSignals({
        source: process,
        log,
        drain: host.drain,
        exit: () => process.exit(exitCodes.stopped),
        getDelayMs: createLoopDelayMonitor().getDelayMs,
    });
    watchSettingsFile(options.settingsPath, text, log, host);
    options.signals.close();
    start.complete();
}

/** Ends the process if it is stopped before it has started. Changed settings are read when the start is complete. */
function handleStartSignals(signals: CollectedSignals, log: Logger, progress: StartProgress): void {
    const stop = (signal: HostSignal): void => {
        const fields = { signal, step: progress.getStep() };
        endProcess({ log, code: exitCodes.stopped, reason: "host: stopped during the start", fields });
    };
    const reactions: Readonly<Record<HostSignal, (signal: HostSignal) => void>> = {
        SIGTERM: stop,
        SIGINT: stop,
        SIGHUP: signal => log.info({ signal, step: progress.getStep() }, "host: signal received during the start"),
    };
    signals.setHandler(signal => reactions[signal](signal));
}

/** Reloads the settings if the file has changed during the start, on SIGHUP, and when a periodic check finds a change. */
function watchSettingsFile(path: string, initialText: string, log: Logger, host: RunningForwarding): void {
    let currentText = initialText;
    const reload = (): void => {
        const text = readSettings(path, log);
        if (text === undefined || text === currentText) {
            return;
        }
        currentText = text;
        const parsed = parseForwardingSettings(text, path);
        if (!parsed.ok) {
            log.error({ findings: parsed.findings }, "host: changed settings are invalid, keeping the current ones");
            return;
        }
        host.reload(parsed.value satisfies ForwardingSettings);
    };
    process.on("SIGHUP", reload);
    setInterval(reload, SETTINGS_CHECK_MS).unref();
    reload();
}

function readSettings(path: string, log: Logger): string | undefined {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        log.warn({ err: error, path }, "host: could not read the settings file, keeping the current settings");
        return undefined;
    }
}
