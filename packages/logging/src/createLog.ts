import bunyan from "bunyan";

/** Lines are written together after this time, so that a request does not wait for a system call. */
const FLUSH_MS = 20;
/** Lines kept while the reader of the output is slower than the process; further ones are counted and dropped. */
const MAX_WAITING_LINES = 4_000;

export interface LogOptions {
    readonly name: string;
    readonly host: string;
    readonly level?: bunyan.LogLevelString;
}

const defaultOptions = { level: "info" } satisfies Partial<LogOptions>;

/** Creates a log of JSON lines on the standard output. It never blocks: lines beyond the limit are dropped and counted. */
export function createLog(options: LogOptions): bunyan {
    return bunyan.createLogger({ ...defaultOptions, ...options, stream: createBufferedOutput(process.stdout) });
}

/** Lines that wait at the end of the process are written then. */
export function createBufferedOutput(output: NodeJS.WritableStream): NodeJS.WritableStream {
    let lines: string[] = [];
    let dropped = 0;
    let isBlocked = false;
    let timer: NodeJS.Timeout | undefined;
    const flush = (): void => {
        timer = undefined;
        if (isBlocked || lines.length === 0) {
            return;
        }
        if (dropped > 0) {
            lines.push(`${JSON.stringify({ level: bunyan.WARN, msg: "log: lines dropped", dropped })}\n`);
            dropped = 0;
        }
        isBlocked = !output.write(lines.join(""));
        lines = [];
    };
    output.on("drain", () => {
        isBlocked = false;
        flush();
    });
    // A closed reader must not end the process.
    output.on("error", () => {
        isBlocked = true;
    });
    process.once("exit", flush);
    const write = (line: string): boolean => {
        if (lines.length >= MAX_WAITING_LINES) {
            dropped += 1;
            return true;
        }
        lines.push(line);
        timer ??= setTimeout(flush, FLUSH_MS);
        return true;
    };
    // A logger uses no other method of a stream.
    return { write } as unknown as NodeJS.WritableStream;
}
