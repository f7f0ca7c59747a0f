import { describe, expect, it } from "vitest";
import { planLoad } from "../../src/queries/planLoad.js";

const options = {
    seed: 3,
    durationMs: 100_000,
    requestsPerSecond: 100,
    callFraction: 0.1,
    duplicateFraction: 0.2,
    maxTokens: 8,
};

describe("planLoad", () => {
    it("plans the same requests with the same seed, and others with another seed", () => {
        expect(planLoad(options)).toEqual(planLoad(options));
        expect(planLoad({ ...options, seed: 4 })).not.toEqual(planLoad(options));
    });

    it("plans requests at the given rate, with one prompt in fifty longer than 100,000 tokens", () => {
        const requests = planLoad(options);
        const prompts = requests.filter(request => request.what === "prompt");
        const lengths = prompts.map(prompt => prompt.promptTokens);
        expect(requests.length / 10_000).toBeCloseTo(1, 1);
        expect(lengths.filter(length => length > 100_000).length / lengths.length).toBeCloseTo(1 / 50, 2);
        expect(Math.min(...lengths)).toBeGreaterThanOrEqual(1_000);
        expect(Math.max(...lengths)).toBeLessThanOrEqual(1_000_000);
    });

    it("plans a duplicate call with the same key for another host", () => {
        const calls = planLoad(options).filter(request => request.what === "dispatch");
        const [first, second] = calls.filter(call =>
            calls.filter(other => other.idempotencyKey === call.idempotencyKey).length === 2
        );
        expect(second).toEqual({ ...first, host: (first?.host ?? 0) + 1 });
    });
});
