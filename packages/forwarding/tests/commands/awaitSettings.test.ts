import bunyan from "bunyan";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { awaitSettings } from "../../src/commands/awaitSettings.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
const whole = `host_id = "h"
failure_domain = "a"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[retries]
ratio = 0.2
extra = 10
window_ms = 10000
[drain]
grace_ms = 4000
`;
const TIMEOUT_MS = 3_000;

describe("awaitSettings", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against a process that ends at its start because its settings file is still being written.
    it.each([
        { name: "a whole file", first: whole, wholeAfterMs: 0, ok: true },
        { name: "a file that comes late", first: undefined, wholeAfterMs: 900, ok: true },
        { name: "a file that is empty at first", first: "", wholeAfterMs: 900, ok: true },
        { name: "a file that ends inside a value", first: whole.slice(0, 40), wholeAfterMs: 900, ok: true },
        { name: "a file that ends between two tables", first: whole.slice(0, 150), wholeAfterMs: 2_900, ok: true },
        { name: "a file that does not come", first: undefined, wholeAfterMs: Infinity, ok: false },
        { name: "a file that stays invalid", first: "host_id = 3\n", wholeAfterMs: Infinity, ok: false },
    ])("decides on $name", async ({ first, wholeAfterMs, ok }) => {
        const path = join(mkdtempSync(join(tmpdir(), "currantrill-settings-")), "host.toml");
        if (first !== undefined) {
            writeFileSync(path, first);
        }
        const pending = awaitSettings({ path, log, timeoutMs: TIMEOUT_MS });
        for (let elapsedMs = 0; elapsedMs <= TIMEOUT_MS + 200; elapsedMs += 100) {
            if (elapsedMs === wholeAfterMs) {
                writeFileSync(path, whole);
            }
            await vi.advanceTimersByTimeAsync(100);
        }
        const result = await pending;
        expect(result.ok).toBe(ok);
        expect(result.ok ? result.text : result.findings.length > 0).toEqual(ok ? readFileSync(path, "utf8") : true);
    });
});
