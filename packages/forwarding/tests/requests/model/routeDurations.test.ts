import { describe, expect, it } from "vitest";
import { createRouteDurations } from "../../../src/requests/model/routeDurations.js";

describe("createRouteDurations", () => {
    it.each([
        { name: "nothing", durations: [], expected: undefined },
        { name: "one request", durations: [300], expected: 300 },
        { name: "all but the longest of ten", durations: [1, 2, 3, 4, 5, 6, 7, 8, 9, 900], expected: 9 },
        {
            name: "the latest 32",
            durations: [...Array(40).fill(5_000) as number[], ...Array(32).fill(20) as number[]],
            expected: 20,
        },
    ])("estimates from $name", ({ durations, expected }) => {
        const routes = createRouteDurations();
        durations.forEach(durationMs => routes.record("r", { durationMs }));
        expect(routes.estimateMs("r")).toBe(expected);
    });
    // Guards against a long answer that a stopping host begins because most answers of its route are short, and that is cut
    // off; and against a short one that it refuses because others were long.
    it.each([
        { name: "a short answer", answerTokens: 300, expected: 100 + 300 * 2 },
        { name: "a long answer", answerTokens: 2_000, expected: 100 + 2_000 * 2 },
        { name: "one that seems longer than any before", answerTokens: 9_000, expected: 6_100 },
        { name: "one of unknown length", answerTokens: undefined, expected: 1_100 },
    ])("estimates $name", ({ answerTokens, expected }) => {
        const routes = createRouteDurations();
        [...Array(29).fill(500) as number[], 3_000, 500, 500].forEach(tokens =>
            routes.record("r", { durationMs: 100 + tokens * 2, firstEventMs: 100, answerTokens: tokens })
        );
        expect(routes.estimateMs("r", answerTokens)).toBe(expected);
    });
    // Guards against an estimate without the time after the first event.
    it("estimates a stream of known length from streams of unknown length by their durations", () => {
        const routes = createRouteDurations();
        routes.record("r", { durationMs: 4_000, firstEventMs: 100 });
        expect(routes.estimateMs("r", 300)).toBe(4_000);
    });
    // Guards against memory that grows with the routes that configurations have had.
    it("forgets the routes that were used longest ago", () => {
        const routes = createRouteDurations();
        Array.from({ length: 1_001 }, (_, index) => routes.record(`r${index}`, { durationMs: 1 }));
        expect(routes.estimateMs("r0")).toBeUndefined();
        expect(routes.estimateMs("r1000")).toBe(1);
    });
});
