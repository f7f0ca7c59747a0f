import { describe, expect, it } from "vitest";
import { allProofs, mutations, noOverrides, runProof } from "../src/index.js";

const SEED = 20_260_301;
/** Schedules of each scenario; together more than 2,000 for all guarantees. */
const SCHEDULES = 200;

describe("no generated schedule violates a guarantee", () => {
    it.each(allProofs)("$name", proof => {
        const row = runProof(proof, { overrides: noOverrides, seed: SEED, schedules: SCHEDULES });
        expect(row).toMatchObject({ verdict: "holds", findings: [] });
    });
});

describe("a disabled safeguard is detected by the checker of its guarantee", () => {
    it.each(mutations)("$name", ({ proofName, overrides }) => {
        const proof = allProofs.find(entry => entry.name === proofName);
        const options = { overrides: { ...noOverrides, ...overrides }, seed: SEED, schedules: 2_000 };
        expect(proof && runProof(proof, options).verdict).toBe("broken");
    });

    it("covers every guarantee", () => {
        expect(new Set(mutations.map(entry => entry.proofName))).toEqual(new Set(allProofs.map(entry => entry.name)));
    });
});
