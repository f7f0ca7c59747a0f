import { describe, expect, it } from "vitest";
import { breaks, noSwitches, promiseProofs, runProof } from "../src/index.js";

const SEED = 20_260_301;
/** Schedules of each scenario; together over 2,000 for all promises. */
const SCHEDULES = 300;

describe("no generated schedule contradicts a promise", () => {
    it.each(promiseProofs)("$name", proof => {
        const row = runProof(proof, { switches: noSwitches, seed: SEED, schedules: SCHEDULES });
        expect(row).toMatchObject({ verdict: "holds", findings: [] });
    });
});

describe("a mechanism that is switched off is noticed by the checker of its promise", () => {
    it.each(breaks)("$name", ({ promise, switches }) => {
        const proof = promiseProofs.find(entry => entry.name === promise);
        const options = { switches: { ...noSwitches, ...switches }, seed: SEED, schedules: 2_000 };
        expect(proof && runProof(proof, options).verdict).toBe("broken");
    });

    it("covers every promise", () => {
        expect(new Set(breaks.map(entry => entry.promise))).toEqual(new Set(promiseProofs.map(entry => entry.name)));
    });
});
