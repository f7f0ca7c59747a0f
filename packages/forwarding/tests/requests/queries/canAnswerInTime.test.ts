import { describe, expect, it } from "vitest";
import { canAnswerInTime } from "../../../src/requests/queries/canAnswerInTime.js";

/** A shutdown that began at 0 and has 8 s. */
const shutdown = { startedAtMs: 0, noticedAtMs: 2_800, stopsAtMs: 7_360 };

describe("canAnswerInTime", () => {
    // Guards against a request that is cut off when the host stops, and against one that is refused without need while
    // the load balancer still sends.
    it.each([
        { name: "an early call", nowMs: 100, timeoutMs: 1_000, expectedMs: 20, isServed: true },
        {
            name: "an early stream with a long time limit",
            nowMs: 2_700,
            timeoutMs: 15_000,
            expectedMs: 4_000,
            isServed: true,
        },
        {
            name: "an early stream that takes too long",
            nowMs: 2_700,
            timeoutMs: 15_000,
            expectedMs: 5_000,
            isServed: false,
        },
        {
            name: "a late call whose time limit ends before the stop",
            nowMs: 6_200,
            timeoutMs: 1_100,
            expectedMs: 20,
            isServed: true,
        },
        {
            name: "a late call whose time limit does not",
            nowMs: 6_200,
            timeoutMs: 1_500,
            expectedMs: 20,
            isServed: false,
        },
        {
            name: "a late call without a short time limit",
            nowMs: 3_000,
            timeoutMs: 5_000,
            expectedMs: 20,
            isServed: false,
        },
        {
            name: "a late stream with a short time limit",
            nowMs: 4_000,
            timeoutMs: 3_000,
            expectedMs: 20,
            isServed: true,
        },
        { name: "a call after the stop", nowMs: 7_400, timeoutMs: 1_000, expectedMs: 0, isServed: false },
    ])("decides about $name", ({ nowMs, timeoutMs, expectedMs, isServed }) => {
        const times = { arrivedAtMs: nowMs, deadlineAtMs: nowMs + timeoutMs, expectedMs };
        expect(canAnswerInTime(times, shutdown, nowMs)).toBe(isServed);
    });
    // Guards against a second attempt that is sent too late.
    it.each([
        { nowMs: 5_000, isServed: true },
        { nowMs: 6_500, isServed: false },
    ])("decides about a request that arrived early and is sent at $nowMs ms", ({ nowMs, isServed }) => {
        const times = { arrivedAtMs: 2_000, deadlineAtMs: 12_000, expectedMs: 1_000 };
        expect(canAnswerInTime(times, shutdown, nowMs)).toBe(isServed);
    });
});
