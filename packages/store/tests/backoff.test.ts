import { describe, expect, it } from "vitest";
import { createBackoff } from "../src/index.js";

describe("createBackoff guards against a flood of requests during and after an outage", () => {
    const createTripped = () => {
        const backoff = createBackoff({ baseMs: 100, maxMs: 400, failuresToTrip: 2, random: () => 1 });
        backoff.recordFailure(0);
        backoff.recordFailure(0);
        return backoff;
    };

    it("holds requests back, then lets one probe through", () => {
        const backoff = createTripped();
        expect([50, 100, 101].map(now => backoff.admit(now))).toEqual([false, true, false]);
    });

    it("waits longer after each failed probe, up to the limit", () => {
        const backoff = createTripped();
        backoff.recordFailure(100);
        expect([299, 300].map(now => backoff.admit(now))).toEqual([false, true]);
        for (let failure = 0; failure < 10; failure += 1) {
            backoff.recordFailure(1_000);
        }
        expect(backoff.admit(1_400)).toBe(true);
    });

    it("opens after one success", () => {
        const backoff = createTripped();
        backoff.recordSuccess();
        expect([1, 2].map(now => backoff.admit(now))).toEqual([true, true]);
    });
});
