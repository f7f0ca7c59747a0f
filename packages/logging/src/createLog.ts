import bunyan from "bunyan";

/** Interval at which buffered lines are written, so that requests do not wait for a system call per line. */
const FLUSH_INTERVAL_MS = 20;
/** Buffer size while the consumer of the output is slower than the process. Further lines are dropped and counted. */
const MAX_BUFFERED_LINES = 4_000;
/** The same in characters: a line quotes what a caller sent, such as a path of 64 KB. */
const MAX_BUFFERED_CHARACTERS = 4 * 1024 * 1024;

export interface LogOptions {
    /** Program name, written to each line. */
    readonly name: string;
    /** Host id, written to each line. Left out until the settings are known. */
    readonly host?: string;
    readonly level?: bunyan.LogLevelString;
}

const defaultOptions = { level: "info" } satisfies Partial<LogOptions>;

/**
 * Creates a logger that writes JSON lines to standard output. It never blocks: lines beyond the buffer size are
 * dropped.
 */
export function createLog(options: LogOptions): bunyan {
    return bunyan.createLogger({
        ...defaultOptions,
        ...options,
        // Without it, JSON leaves out the message and the stack of an error.
        serializers: { err: bunyan.stdSerializers.err },
        stream: createBufferedOutput(process.stdout),
    });
}

/**
 * Creates a stream for bunyan that buffers lines and writes them in batches. Buffered lines are flushed when the
 * process exits.
 */
export function createBufferedOutput(output: NodeJS.WritableStream): NodeJS.WritableStream {
    let lines: string[] = [];
    let characters = 0;
    let dropped = 0;
    let isBlocked = false;
    let timer: NodeJS.Timeout | undefined;
    const flush = (): void => {
        timer = undefined;
        if (isBlocked || lines.length === 0 && dropped === 0) {
            return;
        }
        if (dropped > 0) {
            lines.push(`${JSON.stringify({ level: bunyan.WARN, msg: "log: lines dropped", dropped })}\n`);
            dropped = 0;
        }
        isBlocked = !output.write(lines.join(""));
        lines = [];
        characters = 0;
    };
    output.on("drain", () => {
        isBlocked = false;
        flush();
    });
    // An output closed by its consumer must not end the process.
    output.on("error", () => {
        isBlocked = true;
    });
    process.once("exit", () => {
        // A last try: what a full pipe does not take is lost with the process.
        isBlocked = false;
        flush();
    });
    const write = (line: string): boolean => {
        timer ??= setTimeout(flush, FLUSH_INTERVAL_MS);
        if (lines.length >= MAX_BUFFERED_LINES || characters + line.length > MAX_BUFFERED_CHARACTERS) {
            dropped += 1;
            return true;
        }
        lines.push(line);
        characters += line.length;
        return true;
    };
    // bunyan calls only the `write` method of a stream.
    return { write } as unknown as NodeJS.WritableStream;
}
