import { describe, expect, it } from "vitest";
import { estimatePrefillMs } from "../../../src/placement/queries/estimateEngine.js";
import { engine } from "../../engineFixture.js";

describe("estimatePrefillMs", () => {
    it.each([
        { tokens: 2_048, shardCount: 1, expected: 2_048 / 200 + 1 + 0.14 * 2_048 ** 2 / 2e6 },
        { tokens: 200_000, shardCount: 1, expected: 1_000 + 200_000 / 2_048 + 0.14 * 20_000 },
        { tokens: 200_000, shardCount: 4, expected: (1_000 + 200_000 / 2_048 + 0.14 * 20_000) / 4 },
    ])("prefills $tokens tokens in $shardCount shards", ({ tokens, shardCount, expected }) => {
        expect(estimatePrefillMs(engine, tokens, shardCount)).toBeCloseTo(expected, 5);
    });
});
