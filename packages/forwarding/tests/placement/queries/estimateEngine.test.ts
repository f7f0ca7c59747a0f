import { describe, expect, it } from "vitest";
import { estimateReadMs } from "../../../src/placement/queries/estimateEngine.js";
import { engine } from "../../engineFixture.js";

describe("estimateReadMs", () => {
    it.each([
        { tokens: 2_048, parts: 1, expected: 2_048 / 200 + 1 + 0.14 * 2_048 ** 2 / 2e6 },
        { tokens: 200_000, parts: 1, expected: 1_000 + 200_000 / 2_048 + 0.14 * 20_000 },
        { tokens: 200_000, parts: 4, expected: (1_000 + 200_000 / 2_048 + 0.14 * 20_000) / 4 },
    ])("reads $tokens tokens in $parts parts", ({ tokens, parts, expected }) => {
        expect(estimateReadMs(engine, tokens, parts)).toBeCloseTo(expected, 5);
    });
});
