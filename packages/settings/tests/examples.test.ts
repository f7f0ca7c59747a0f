import { type Configuration, emptyConfiguration, listObjects, planTicket } from "@currantrill/core";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { parseHostSettings, parseTicket } from "../src/index.js";

const EXAMPLES = join(import.meta.dirname, "..", "..", "..", "examples");
const listFiles = (...path: string[]): string[] =>
    readdirSync(join(EXAMPLES, ...path)).sort().map(name => join(EXAMPLES, ...path, name));

function applyTickets(files: readonly string[]): Configuration {
    return files.reduce((configuration, file) => {
        const parsed = parseTicket(readFileSync(file, "utf8"), file);
        const plan = parsed.ok ? planTicket(configuration, parsed.value) : parsed;
        if (!plan.ok) {
            throw new Error(`${file}: ${JSON.stringify(plan.findings)}`);
        }
        return plan.next;
    }, emptyConfiguration);
}

describe("examples guard against example files that no longer match the schema", () => {
    it.each([
        { user: "lilybrook", hosts: 6, engines: 20, services: 3, domains: 3, workspaces: 10 },
        { user: "hooghly", hosts: 7, engines: 25, services: 3, domains: 3, workspaces: 10 },
    ])("$user", ({ user, ...sizes }) => {
        const settings = listFiles(user, "hosts").map(file => {
            const parsed = parseHostSettings(readFileSync(file, "utf8"), file);
            if (!parsed.ok) {
                throw new Error(JSON.stringify(parsed.findings));
            }
            return parsed.value;
        });
        const configuration = applyTickets(listFiles(user, "tickets"));
        const endpoints = listObjects(configuration, "endpoint");
        const engines = endpoints.filter(endpoint => endpoint.memoryTokens > 0);
        expect({
            hosts: new Set(settings.map(entry => entry.host_id)).size,
            engines: engines.length,
            services: endpoints.length - engines.length,
            domains: new Set(settings.map(entry => entry.failure_domain)).size,
            workspaces: listObjects(configuration, "workspace").length,
        }).toEqual(sizes);
        expect(new Set(endpoints.map(endpoint => endpoint.url)).size).toBe(endpoints.length);
        expect(new Set(settings.flatMap(entry => Object.values(entry.listen))).size).toBe(3 * settings.length);
    });
});
