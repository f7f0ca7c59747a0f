import { parseForwardingSettings } from "@currantrill/settings";
import { describe, expect, it } from "vitest";

const valid = `host_id = "h"
failure_domain = "a"
seeds = ["10.0.0.1:7000"]
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
peers = "10.0.0.1:3"
metrics = "10.0.0.1:4"
[store]
address = "10.0.0.9:80"
[retries]
ratio = 0.2
extra = 100
window_ms = 10000
[drain]
grace_ms = 8000
`;

describe("parseForwardingSettings", () => {
    it("accepts settings and fills in defaults", () => {
        expect(parseForwardingSettings(valid, "s.toml")).toMatchObject({
            ok: true,
            value: { reservations: { free_ms: 4_000 }, log_level: "info" },
        });
    });
    // Guards against a host that starts with invalid settings, or that reports only the first finding.
    it.each([
        { name: "an unknown key", change: "nonsense = 1\n", paths: ["nonsense"] },
        {
            name: "an address without a port",
            text: valid.replace("10.0.0.1:1\"", "10.0.0.1\""),
            paths: ["listen.callers"],
        },
        {
            name: "several findings at once",
            text: valid.replace("ratio = 0.2", "ratio = 2").replace("grace_ms = 8000", "grace_ms = 0"),
            paths: ["retries.ratio", "drain.grace_ms"],
        },
        { name: "invalid TOML", text: "a = = 1", paths: [""] },
    ])("reports $name", ({ change = "", text = change + valid, paths }) => {
        const parsed = parseForwardingSettings(text, "s.toml");
        expect(parsed.ok ? [] : parsed.findings.map(finding => finding.path)).toEqual(paths);
    });
});
