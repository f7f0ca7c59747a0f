import { parseForwardingSettings, parseHostSettings, parseTicket } from "@currantrill/settings";
import { readFileSync } from "node:fs";
import { createFindingsReport, exitCodes, type Report } from "../model/report.js";

const parsers = { host: parseHostSettings, forwarding: parseForwardingSettings, ticket: parseTicket } as const;

/** Reads a text file; `undefined` if it cannot be read. */
export function readText(file: string): string | undefined {
    try {
        return readFileSync(file, "utf8");
    }
    catch {
        return undefined;
    }
}

export const createMissingFileReport = (file: string): Report =>
    createFindingsReport([{ source: file, path: "", found: "no readable file", expected: "a TOML file" }]);

/** Validates the format of settings or tickets without contacting a host. Reports the findings of all files at once. */
export function checkFiles(kind: keyof typeof parsers, files: readonly string[]): Report {
    const findings = files.flatMap(file => {
        const text = readText(file);
        const parsed = text === undefined ? undefined : parsers[kind](text, file);
        if (parsed === undefined) {
            return [{ source: file, path: "", found: "no readable file", expected: "a TOML file" }];
        }
        return parsed.ok ? [] : parsed.findings;
    });
    if (findings.length > 0) {
        return createFindingsReport(findings);
    }
    return { exitCode: exitCodes.done, data: { files, findings }, text: files.map(file => `${file}: ok`).join("\n") };
}
