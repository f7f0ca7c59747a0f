import type { Finding } from "@currantrill/core";
import { parse as parseToml, TomlError } from "smol-toml";
import type { z } from "zod";
import { type HostSettings, hostSettingsSchema } from "../model/hostSettings.js";

export type ParseResult<T> =
    | { readonly ok: true; readonly value: T; }
    | { readonly ok: false; readonly findings: readonly Finding[]; };

/** Checks a host's settings. All findings are returned together. */
export function parseHostSettings(text: string, source: string): ParseResult<HostSettings> {
    return parseWithSchema(text, source, hostSettingsSchema);
}

/** Parses TOML and checks it against a schema. */
export function parseWithSchema<T>(text: string, source: string, schema: z.ZodType<T>): ParseResult<T> {
    const document = parseDocument(text, source);
    if (!document.ok) {
        return document;
    }
    const parsed = schema.safeParse(document.value);
    if (parsed.success) {
        return { ok: true, value: parsed.data };
    }
    const findings = parsed.error.issues.map(issue => ({
        source,
        path: issue.path.map(String).join("."),
        found: issue.code,
        expected: issue.message,
    }));
    return { ok: false, findings };
}

function parseDocument(text: string, source: string): ParseResult<unknown> {
    try {
        return { ok: true, value: parseToml(text) };
    }
    catch (error) {
        if (error instanceof TomlError) {
            return {
                ok: false,
                findings: [{ source, path: "", line: error.line, found: "invalid TOML", expected: error.message }],
            };
        }
        throw error;
    }
}
