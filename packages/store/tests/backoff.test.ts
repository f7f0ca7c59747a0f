import { describe, expect, it } from "vitest";
import { createBackoff } from "../src/index.js";

describe("createBackoff guards against excessive requests during and after an outage", () => {
    const createSuspendedBackoff = () => {
        const backoff = createBackoff({ baseMs: 100, maxMs: 400, failureThreshold: 2, random: () => 1 });
        backoff.recordFailure(0);
        backoff.recordFailure(0);
        return backoff;
    };

    it("suspends requests, then admits one probe", () => {
        const backoff = createSuspendedBackoff();
        expect([50, 100, 101].map(now => backoff.admit(now))).toEqual([false, true, false]);
    });

    it("doubles the wait after each failed probe, up to the maximum", () => {
        const backoff = createSuspendedBackoff();
        backoff.recordFailure(100);
        expect([299, 300].map(now => backoff.admit(now))).toEqual([false, true]);
        for (let failure = 0; failure < 10; failure += 1) {
            backoff.recordFailure(1_000);
        }
        expect(backoff.admit(1_400)).toBe(true);
    });

    it("admits all requests after one success", () => {
        const backoff = createSuspendedBackoff();
        backoff.recordSuccess();
        expect([1, 2].map(now => backoff.admit(now))).toEqual([true, true]);
    });
});
