import bunyan from "bunyan";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ADDRESS_ERROR, createAddressBinder } from "../src/createAddressBinder.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
const TIMEOUT_MS = 10_000;

const createError = (code: string): Error => Object.assign(new Error(code), { code });

describe("createAddressBinder", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against a start that fails because of an address that is free a moment later, and against one that tries for
    // ever to bind an address that it cannot get.
    it.each([
        { name: "a free address", code: "EADDRINUSE", freeAfterMs: 0, isBound: true, tries: 1 },
        {
            name: "an address that is taken for a while",
            code: "EADDRINUSE",
            freeAfterMs: 2_000,
            isBound: true,
            tries: 21,
        },
        {
            name: "an interface that comes up late",
            code: "EADDRNOTAVAIL",
            freeAfterMs: 5_000,
            isBound: true,
            tries: 51,
        },
        { name: "an address that stays taken", code: "EADDRINUSE", freeAfterMs: Infinity, isBound: false, tries: 101 },
        { name: "an address that is not allowed", code: "EACCES", freeAfterMs: 1_000, isBound: false, tries: 1 },
    ])("decides on $name", async ({ code, freeAfterMs, isBound, tries }) => {
        const bindAddress = createAddressBinder({ log, timeoutMs: TIMEOUT_MS });
        const startedAtMs = performance.now();
        let count = 0;
        const result = bindAddress("callers", "127.0.0.1:1", () => {
            count += 1;
            return performance.now() - startedAtMs >= freeAfterMs
                ? Promise.resolve("bound")
                : Promise.reject(createError(code));
        }).catch((error: unknown) => error);
        await vi.advanceTimersByTimeAsync(TIMEOUT_MS + 1_000);
        expect(await result).toEqual(isBound ? "bound" : expect.objectContaining({ name: ADDRESS_ERROR }));
        expect(count).toBe(tries);
    });
    // Guards against a start that takes the time limit once for each of its addresses.
    it("applies one time limit to all addresses", async () => {
        const bindAddress = createAddressBinder({ log, timeoutMs: TIMEOUT_MS });
        const bind = (): Promise<never> => Promise.reject(createError("EADDRINUSE"));
        const first = bindAddress("callers", "127.0.0.1:1", bind).catch(() => undefined);
        await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
        await first;
        const second = vi.fn(bind);
        await bindAddress("peers", "127.0.0.1:2", second).catch(() => undefined);
        expect(second).toHaveBeenCalledTimes(1);
    });
});
