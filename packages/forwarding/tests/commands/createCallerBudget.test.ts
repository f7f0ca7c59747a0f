import { parseForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { createCallerBudget } from "../../src/commands/createCallerBudget.js";
import { createForwardingMetrics } from "../../src/model/forwardingMetrics.js";

const template = readFileSync(join(import.meta.dirname, "../../../../deploy/settings.toml"), "utf8");

/** Fills in the template. Sections of values that are not given are left out. */
function render(values: Readonly<Record<string, string>>): string {
    const withSections = template.replace(
        /\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g,
        (_all, name: string, text: string) => name in values ? text : "",
    );
    return withSections.replace(
        /"?\{\{([\w.]+)(\|json)?\}\}[^"\n]*"?/g,
        (_all, name: string) =>
            values[name] ?? (/address|ip_/.test(name) ? "\"10.0.0.1:1\"" : /node|zone/.test(name) ? "\"a\"" : "1"),
    );
}

const readMemory = (values: Readonly<Record<string, string>>): unknown => {
    const parsed = parseForwardingSettings(render(values), "settings.toml");
    return parsed.ok ? parsed.value.limits : parsed.findings.map(({ path }) => path);
};

describe("the budget for what callers make a host hold", () => {
    // Guards against a template that is not valid without a value that the platform need not specify.
    it.each([
        { values: {}, limits: { file_descriptors: 4_200, memory_mb: 202 } },
        { values: { "limits.memory_mb": "512" }, limits: { file_descriptors: 4_200, memory_mb: 512 } },
        // Guards against a host that does not start because its memory is small.
        { values: { "limits.memory_mb": "160" }, limits: { file_descriptors: 4_200, memory_mb: 160 } },
        { values: { "limits.file_descriptors": "99" }, limits: { file_descriptors: 99, memory_mb: 202 } },
        { values: { "limits.memory_mb": "0" }, limits: ["limits.memory_mb"] },
    ])("reads its size from settings with $values", ({ values, limits }) => {
        expect(readMemory(values as Record<string, string>)).toEqual(limits);
    });

    // Guards against closed connections that no line explains, and against a line for each of thousands.
    it("logs one line for each cause, and counts each decision", async () => {
        const parsed = parseForwardingSettings(render({}), "settings.toml");
        if (!parsed.ok) {
            throw new Error(JSON.stringify(parsed.findings));
        }
        const lines: unknown[] = [];
        const log = { warn: (fields: object, text: string) => lines.push({ ...fields, text }) } as unknown as Logger;
        const metrics = createForwardingMetrics();
        const budget = createCallerBudget(() => parsed.value, log, metrics);
        const holder = { isWaitingForHost: () => true, close: () => undefined };
        const account = budget.open(holder, 1);
        for (let index = 0; index < 5; index += 1) {
            expect(account?.take("head", 1e9)).toBe(false);
        }
        expect(account?.take("request", 1e9)).toBe(false);
        expect(lines).toMatchObject([
            { cause: "head", event: "refused", text: "callers: too much memory", held: { connection: 1 } },
            { cause: "request", event: "refused", text: "callers: too much memory" },
        ]);
        const { values } = await metrics.callerBudgetEvents.get();
        expect(values.map(({ labels, value }) => [labels.cause, value])).toEqual([["head", 5], ["request", 1]]);
    });
});
