import { createFindingsReport, exitCodes, type Report } from "../model/report.js";
import { type LogLine, parseLogLines, traceRequest } from "../queries/traceRequest.js";
import { createMissingFileReport, readText } from "./checkFiles.js";

/** Standard fields of each line. They are printed in the heading or omitted, and not listed after it. */
const HEADING_FIELDS: ReadonlySet<string> = new Set(["time", "host", "msg", "name", "hostname", "pid", "level", "v"]);

/** Reports the trace of a request from the log files of all hosts. */
export function traceFiles(request: string, files: readonly string[]): Report {
    const lines: LogLine[] = [];
    for (const file of files) {
        const text = readText(file);
        if (text === undefined) {
            return createMissingFileReport(file);
        }
        lines.push(...parseLogLines(text));
    }
    const traceLines = traceRequest(lines, request);
    if (traceLines.length === 0) {
        return createFindingsReport([{
            source: files.join(", "),
            path: request,
            found: `no line of this request among ${lines.length} lines`,
            expected: "the logs of all hosts around the time of the request",
        }]);
    }
    return {
        exitCode: exitCodes.done,
        data: { request, lines: traceLines },
        text: traceLines.map(formatLine).join("\n"),
    };
}

function formatLine(line: LogLine): string {
    const fields = Object.entries(line)
        .filter(([name]) => !HEADING_FIELDS.has(name))
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return `${line.time} ${line.host} ${line.msg} ${fields.join(" ")}`;
}
