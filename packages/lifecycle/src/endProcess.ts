import type Logger from "bunyan";
import type { ExitCode } from "./exitCodes.js";

export interface EndProcessOptions {
    readonly log: Logger;
    readonly code: ExitCode;
    readonly reason: string;
    readonly fields?: Readonly<Record<string, unknown>>;
    readonly exit?: (code: ExitCode) => void;
}

const defaultOptions = {
    fields: {},
    exit: (code: ExitCode): void => process.exit(code),
} satisfies Partial<EndProcessOptions>;

/** Ends the process, after a line with the reason and the exit code. */
export function endProcess(options: EndProcessOptions): void {
    const { log, code, reason, fields, exit } = { ...defaultOptions, ...options };
    const write = code === 0 ? log.info.bind(log) : log.fatal.bind(log);
    write({ ...fields, exitCode: code }, reason);
    exit(code);
}
