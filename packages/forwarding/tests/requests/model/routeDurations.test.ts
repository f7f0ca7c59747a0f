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
        durations.forEach(duration => routes.record("r", duration));
        expect(routes.estimateMs("r")).toBe(expected);
    });
    // Guards against memory that grows with the routes that configurations have had.
    it("forgets the routes that were used longest ago", () => {
        const routes = createRouteDurations();
        Array.from({ length: 1_001 }, (_, index) => routes.record(`r${index}`, 1));
        expect(routes.estimateMs("r0")).toBeUndefined();
        expect(routes.estimateMs("r1000")).toBe(1);
    });
});
