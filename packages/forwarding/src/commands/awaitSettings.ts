import { type ForwardingSettings, parseForwardingSettings, type ParseResult } from "@currantrill/settings";
import type Logger from "bunyan";
import { readFileSync } from "node:fs";

const RETRY_INTERVAL_MS = 100;

export interface AwaitSettingsOptions {
    /** Path of the TOML settings file. */
    readonly path: string;
    readonly log: Logger;
    /** Time limit for the file to become valid, in milliseconds. */
    readonly timeoutMs: number;
}

/** Settings with the text that they were read from, or what is wrong with them. */
export type SettingsResult =
    | { readonly ok: true; readonly text: string; readonly settings: ForwardingSettings; }
    | Extract<ParseResult<ForwardingSettings>, { readonly ok: false; }>;

/**
 * Reads the settings file. While it is absent or invalid, reads it again until the time limit, because the platform
 * writes it around the start of the process and may not have finished.
 */
export async function awaitSettings({ path, log, timeoutMs }: AwaitSettingsOptions): Promise<SettingsResult> {
    const endMs = performance.now() + timeoutMs;
    for (let isFirst = true;; isFirst = false) {
        const result = readSettings(path);
        if (result.ok || performance.now() >= endMs) {
            return result;
        }
        if (isFirst) {
            log.warn({ path, timeoutMs, findings: result.findings }, "host: settings are not valid yet, reading again");
        }
        await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
    }
}

function readSettings(path: string): SettingsResult {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch (error) {
        const found = error instanceof Error ? error.message : String(error);
        return { ok: false, findings: [{ source: path, path: "", found, expected: "a readable file" }] };
    }
    const parsed = parseForwardingSettings(text, path);
    return parsed.ok ? { ok: true, text, settings: parsed.value } : parsed;
}
