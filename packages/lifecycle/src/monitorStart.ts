import type Logger from "bunyan";
import type { EventEmitter } from "node:events";
import { endProcess } from "./endProcess.js";
import { type ExitCode, exitCodes } from "./exitCodes.js";
import type { StartProgress } from "./startProgress.js";

/** Interval at which the duration of the start is checked. */
const TICK_MS = 500;
/**
 * Time limit for a start, far above that of a busy machine. It counts ticks of a timer, so that a pause of the process
 * does not use it up.
 */
const START_TIMEOUT_MS = 30_000;

export interface StartMonitorOptions {
    readonly log: Logger;
    readonly progress: StartProgress;
    /** Emits the errors that no component has handled. */
    readonly source?: Pick<EventEmitter, "on">;
    /** Called for each unexpected error of a process that has started, for metrics. */
    readonly onUnexpectedError?: () => void;
    /** Returns the exit code for an error that ends the start. */
    readonly getExitCode?: (error: unknown) => ExitCode;
    readonly timeoutMs?: number;
    readonly exit?: (code: ExitCode) => void;
}

const defaultOptions = {
    source: process,
    onUnexpectedError: (): void => undefined,
    getExitCode: (): ExitCode => exitCodes.startFailed,
    timeoutMs: START_TIMEOUT_MS,
    exit: (code: ExitCode): void => process.exit(code),
} satisfies Partial<StartMonitorOptions>;

export interface StartMonitor {
    /** Ends the process, after a line with the error and the step of the start. */
    readonly fail: (error: unknown) => void;
    /** Ends the check: the process has started. */
    readonly complete: () => void;
}

type Phase = "starting" | "started";

/**
 * Ends the process if its start fails or takes too long, so that the platform starts it again. An error that no
 * component has handled ends a start, because what is missing is not known; a process that has started goes on with the
 * requests that the error does not concern.
 */
export function monitorStart(options: StartMonitorOptions): StartMonitor {
    const { log, progress, source, onUnexpectedError, getExitCode, timeoutMs, exit } = {
        ...defaultOptions,
        ...options,
    };
    let phase: Phase = "starting";
    const end = (code: ExitCode, reason: string, error?: unknown): void => {
        clearInterval(timer);
        const fields = { step: progress.getStep(), ...(error === undefined ? {} : { err: error }) };
        endProcess({ log, code, reason, fields, exit });
    };
    let ticks = 0;
    const timer = setInterval(() => {
        ticks += 1;
        if (ticks * TICK_MS >= timeoutMs) {
            end(exitCodes.startTimedOut, "host: start did not end in time");
        }
    }, TICK_MS);
    const fail = (error: unknown): void => end(getExitCode(error), "host: start failed", error);
    const reactions: Readonly<Record<Phase, (error: unknown) => void>> = {
        starting: fail,
        started: error => {
            onUnexpectedError();
            log.error({ err: error }, "host: unexpected error");
        },
    };
    source.on("uncaughtException", (error: unknown) => reactions[phase](error));
    source.on("unhandledRejection", (reason: unknown) => reactions[phase](reason));
    return {
        fail,
        complete: () => {
            phase = "started";
            clearInterval(timer);
        },
    };
}
