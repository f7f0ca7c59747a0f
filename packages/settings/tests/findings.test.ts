import { describe, expect, it } from "vitest";
import { parseHostSettings, parseTicket } from "../src/index.js";

const settings = (changes: Record<string, string> = {}): string => {
    const lines = {
        host_id: "\"a-1\"",
        failure_domain: "\"a\"",
        operator_key: "\"long-enough-key\"",
        listen: "{ callers = \"10.0.0.1:1\", operators = \"10.0.0.1:2\", peers = \"10.0.0.1:3\" }",
        platform: "{ url = \"http://10.0.0.9:7000\" }",
        ...changes,
    };
    return Object.entries(lines).map(([key, value]) => `${key} = ${value}`).join("\n");
};
const listen = (callers: string): string =>
    `{ callers = "${callers}", operators = "10.0.0.1:2", peers = "10.0.0.1:3" }`;

describe("findings guard against error messages without the position, the found value or the expected one", () => {
    it.each([
        { name: "valid", text: settings(), findings: [] },
        {
            name: "wrong type, with its line number",
            text: settings({ host_id: "5" }),
            findings: ["t:1 host_id 5 | a value of type string"],
        },
        {
            name: "missing key",
            text: settings().replace(/^operator_key.*\n/m, ""),
            findings: ["t:- operator_key nothing | a value of type string"],
        },
        {
            name: "unknown key",
            text: settings({ hostid: "1" }),
            findings: ["t:6 hostid an unknown key | no such key here"],
        },
        {
            name: "address out of range",
            text: settings({ listen: listen("10.0.0.256:1") }),
            findings: ["t:4 listen.callers \"10.0.0.256:1\" | an IP address and port such as 10.0.0.1:7100"],
        },
        {
            name: "port out of range",
            text: settings({ listen: listen("10.0.0.1:70000") }),
            findings: ["t:4 listen.callers \"10.0.0.1:70000\" | a port of at most 65535"],
        },
        {
            name: "value not in an enumeration",
            text: settings({ log_level: "\"loud\"" }),
            findings: ["t:6 log_level \"loud\" | one of \"debug\", \"info\", \"warn\", \"error\""],
        },
        {
            name: "two findings at once, sorted by line",
            text: settings({ host_id: "\"\"", routing: "{ short_request_weight = 2 }" }),
            findings: [
                "t:1 host_id \"\" | at least 1 characters",
                "t:6 routing.short_request_weight 2 | a number of at most 1",
            ],
        },
        {
            name: "default timeout above the maximum",
            text: `${settings()}\n[limits]\ndefault_timeout_ms = 20\nmax_timeout_ms = 10`,
            findings: ["t:7 limits.default_timeout_ms 20 | at most max_timeout_ms, 10"],
        },
        { name: "invalid TOML", text: "a = ", findings: [expect.stringMatching(/^t:1 {2}invalid TOML/)] },
    ])("$name", ({ text, findings }) => {
        const parsed = parseHostSettings(text, "t");
        const found = parsed.ok
            ? []
            : parsed.findings.map(({ source, line, path, found, expected }) =>
                `${source}:${line ?? "-"} ${path} ${found} | ${expected}`
            );
        expect(found).toEqual(findings);
    });

    it.each([
        {
            name: "array of tables",
            text:
                "ticket = 1\nsummary = \"s\"\n[[pools]]\nname = \"a\"\nreplaces = 0\nowner = \"o\"\nserves = \"engine\"\n"
                + "[[pools]]\nname = \"B\"\nreplaces = 0\nowner = \"o\"\nserves = \"engine\"",
            expectedPosition: ["pools[1].name", 9],
        },
        {
            name: "element of a multi-line array",
            text:
                "ticket = 1\nsummary = \"#[\"\npools = [\n  { name = \"a\", replaces = 0, owner = \"o\", serves = \"engine\" },\n"
                + "  { name = \"b\", replaces = 0, owner = \"o\", serves = \"x\" },\n]",
            expectedPosition: ["pools[1].serves", 5],
        },
        {
            name: "failure domain with an unknown state",
            text: "ticket = 1\nsummary = \"s\"\n[[domains]]\nname = \"a\"\nreplaces = 0\nstate = \"closed\"",
            expectedPosition: ["domains[0].state", 6],
        },
    ])("reports the line number in an $name", ({ text, expectedPosition }) => {
        const parsed = parseTicket(text, "t");
        expect(parsed.ok ? [] : parsed.findings.map(({ path, line }) => [path, line])).toEqual([expectedPosition]);
    });
});
