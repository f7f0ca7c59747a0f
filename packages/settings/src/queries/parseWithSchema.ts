import type { Finding } from "@currantrill/core";
import { parse as parseToml, TomlError } from "smol-toml";
import type { z } from "zod";
import { describeIssue } from "./describeIssue.js";
import { findLine, listKeyLines } from "./listKeyLines.js";

/** The validated value, or the reasons why the document was rejected. */
export type ParseResult<T> =
    | { readonly ok: true; readonly value: T; }
    | { readonly ok: false; readonly findings: readonly Finding[]; };

/** Parses TOML and validates it against a schema. Reports all findings at once, sorted by line number. */
export function parseWithSchema<T>(text: string, source: string, schema: z.ZodType<T>): ParseResult<T> {
    const document = parseDocument(text, source);
    if (!document.ok) {
        return document;
    }
    const parsed = schema.safeParse(document.value);
    if (parsed.success) {
        return { ok: true, value: parsed.data };
    }
    const lines = listKeyLines(text);
    const findings = parsed.error.issues
        .flatMap(issue => describeIssue(document.value, issue))
        .map(({ path, found, expected }): Finding => {
            const line = findLine(lines, path);
            return { source, path: formatPath(path), ...(line === undefined ? {} : { line }), found, expected };
        })
        .sort((a, b) => (a.line ?? 0) - (b.line ?? 0));
    return { ok: false, findings };
}

/** Formats a path as `endpoints[2].url`. */
const formatPath = (path: readonly string[]): string =>
    path.map(part => /^\d+$/.test(part) ? `[${part}]` : `.${part}`).join("").replace(/^\./, "");

function parseDocument(text: string, source: string): ParseResult<unknown> {
    try {
        return { ok: true, value: parseToml(text) };
    }
    catch (error) {
        if (error instanceof TomlError) {
            const [reason] = error.message.split("\n");
            const finding = { source, path: "", line: error.line, found: "invalid TOML", expected: reason ?? "" };
            return { ok: false, findings: [finding] };
        }
        throw error;
    }
}
