/** Selects the log lines of all hosts that concern one request and the endpoints that it was sent to. */

export interface LogLine {
    readonly time: string;
    readonly host: string;
    readonly msg: string;
    readonly [field: string]: unknown;
}

export interface TraceOptions {
    /**
     * Time before the start of the request from which lines about its endpoints and hosts are included, in
     * milliseconds. Defaults to 5 s.
     */
    readonly lookbackMs?: number;
}

const defaultOptions = { lookbackMs: 5_000 } satisfies TraceOptions;

interface AttemptField {
    readonly endpoint?: string;
}

/** Parses log lines. A log collector may have prefixed the JSON document with text; lines without one are skipped. */
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
            // Output of another program, or a truncated line.
            return [];
        }
    });
}

function isLogLine(value: unknown): value is LogLine {
    const { msg, time } = value as Partial<LogLine>;
    return typeof msg === "string" && typeof time === "string";
}

/**
 * Selects the trace of a request, sorted by time: its own lines, and the lines in its time range about its endpoints on
 * any host or about the hosts that logged it, and all earlier lines about what it was refused for: a part of its prompt, or
 * the request as a whole under any id. Empty if no line names the request.
 */
export function traceRequest(lines: readonly LogLine[], request: string, options: TraceOptions = {}): LogLine[] {
    const { lookbackMs } = { ...defaultOptions, ...options };
    const requestLines = lines.filter(line => line["request"] === request);
    if (requestLines.length === 0) {
        return [];
    }
    const endpoints = new Set(requestLines.flatMap(listEndpoints));
    const endMs = Math.max(...requestLines.map(getTime));
    const startMs = Math.min(...requestLines.map(line => getTime(line) - getDuration(line))) - lookbackMs;
    const hosts = new Set<unknown>(requestLines.map(line => line.host));
    const isolatedParts = collectValues(requestLines, "isolatedPart");
    const digests = new Set([
        ...collectValues(requestLines, "isolatedRequest"),
        ...collectValues(requestLines, "requestDigest"),
    ]);
    return lines
        .filter(line => {
            const timeMs = getTime(line);
            const isInTimeRange = timeMs >= startMs && timeMs <= endMs;
            const isAboutEndpoint = endpoints.has(String(line["endpoint"]));
            const isAboutHost = hosts.has(line.host) && line["request"] === undefined && line["endpoint"] === undefined;
            // A suspect may have been isolated long before the request that was refused for it.
            const isAboutSuspect = timeMs <= endMs
                && (isolatedParts.has(line["part"]) || digests.has(line["requestDigest"]));
            return line["request"] === request || isAboutSuspect || isInTimeRange && (isAboutEndpoint || isAboutHost);
        })
        .sort((a, b) => getTime(a) - getTime(b));
}

const collectValues = (lines: readonly LogLine[], field: string): ReadonlySet<unknown> =>
    new Set(lines.map(line => line[field]).filter(value => value !== undefined));

const getTime = (line: LogLine): number => Date.parse(line.time);
const getDuration = (line: LogLine): number => typeof line["durationMs"] === "number" ? line["durationMs"] : 0;

function listEndpoints(line: LogLine): string[] {
    const attempts = (line["attempts"] ?? []) as readonly AttemptField[];
    return attempts.flatMap(attempt => attempt.endpoint === undefined ? [] : [attempt.endpoint]);
}
