import { afterEach, describe, expect, it, vi } from "vitest";
import { createLog } from "../src/index.js";

describe("createLog", () => {
    afterEach(() => {
        vi.restoreAllMocks();
        vi.useRealTimers();
    });

    // Guards against lines such as `host: unexpected error` with an empty object, which tell nothing about the error.
    it("writes the message and the stack of errors", () => {
        vi.useFakeTimers();
        let text = "";
        vi.spyOn(process.stdout, "write").mockImplementation(chunk => {
            text += String(chunk);
            return true;
        });
        const log = createLog({ name: "test" });
        const error = Object.assign(new TypeError("no such address"), { code: "EADDRINUSE" });
        log.error({ err: error }, "first");
        log.child({ host: "h" }).error({ err: error }, "second");
        log.error({ err: "a rejection without an error" }, "third");
        vi.runAllTimers();
        vi.restoreAllMocks();
        const lines = text.trim().split("\n").map(line => (JSON.parse(line) as { err: unknown; }).err);
        const expected = { name: "TypeError", message: "no such address", code: "EADDRINUSE" };
        expect(lines).toMatchObject([expected, expected, "a rejection without an error"]);
        expect(lines[0]).toHaveProperty("stack", expect.stringContaining("createLog.test.ts"));
    });
});
