/** Finds what hosts logged of a request, and of the endpoints that it was sent to. */

/** A log line of a host. */
export interface LogLine {
    readonly time: string;
    readonly host: string;
    readonly msg: string;
    readonly [field: string]: unknown;
}

export interface TraceOptions {
    /** Lines on the request's endpoints and on the configuration this long before it began are part of its story. */
    readonly beforeMs?: number;
}

const defaultOptions = { beforeMs: 5_000 } satisfies TraceOptions;

interface AttemptField {
    readonly endpoint?: string;
}

/** Parses log lines. A collector may put text in front of the JSON document; other lines are passed over. */
export function parseLogLines(text: string): LogLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        if (start === -1) {
            return [];
        }
        try {
            const value: unknown = JSON.parse(line.slice(start));
            return isLogLine(value) ? [value] : [];
        }
        catch {
            // The output of other programs, or a line that was cut.
            return [];
        }
    });
}

function isLogLine(value: unknown): value is LogLine {
    const { msg, time } = value as Partial<LogLine>;
    return typeof msg === "string" && typeof time === "string";
}

/** Selects the lines of a request's story in the order of time. Empty if no line names the request. */
export function traceRequest(lines: readonly LogLine[], request: string, options: TraceOptions = {}): LogLine[] {
    const { beforeMs } = { ...defaultOptions, ...options };
    const own = lines.filter(line => line["request"] === request);
    if (own.length === 0) {
        return [];
    }
    const endpoints = new Set(own.flatMap(listEndpoints));
    const endMs = Math.max(...own.map(getTime));
    const startMs = Math.min(...own.map(line => getTime(line) - getDuration(line))) - beforeMs;
    const hosts = new Set(own.map(line => line.host));
    return lines
        .filter(line => {
            const timeMs = getTime(line);
            const isNear = timeMs >= startMs && timeMs <= endMs;
            const isAboutEndpoint = endpoints.has(String(line["endpoint"]));
            const isAboutHost = hosts.has(line.host) && line["request"] === undefined && line["endpoint"] === undefined;
            return line["request"] === request || isNear && (isAboutEndpoint || isAboutHost);
        })
        .sort((a, b) => getTime(a) - getTime(b));
}

const getTime = (line: LogLine): number => Date.parse(line.time);
const getDuration = (line: LogLine): number => typeof line["durationMs"] === "number" ? line["durationMs"] : 0;

function listEndpoints(line: LogLine): string[] {
    const attempts = (line["attempts"] ?? []) as readonly AttemptField[];
    return attempts.flatMap(attempt => attempt.endpoint === undefined ? [] : [attempt.endpoint]);
}
