import { toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { getTrialAtMs } from "../../../src/quarantine/model/quarantineEntry.js";
import { toPartSuspect, toRequestSuspect } from "../../../src/quarantine/model/suspect.js";
import { selectTrackedParts } from "../../../src/quarantine/queries/selectTrackedParts.js";

const times = { retryAfterMs: 30_000 };
const part = toPartSuspect("p");
const request = toRequestSuspect("head.whole");

describe("getTrialAtMs", () => {
    // Guards against trials that end endpoint after endpoint over a day, and against a sound request that stays isolated.
    it.each([
        ["a part, first trial", part, 0, 30_000],
        ["a part, after two trials", part, 2, 120_000],
        ["a part, after many trials", part, 20, 480_000],
        ["a request, first trial, when endpoints are back", request, 0, 3_000],
        ["a request, second and last trial", request, 1, 30_000],
        ["a request, not before its entry is forgotten", request, 2, Infinity],
    ])("returns the time of the next trial: %s", (_name, suspect, trials, expected) => {
        const entry = { service: toServiceId("s"), suspect, revision: 1, isIsolated: true, changedAtMs: 500, trials };
        expect(getTrialAtMs(entry, times)).toBe(500 + expected);
    });
});

describe("selectTrackedParts", () => {
    // Guards against a caller that names another caller's request as a part of its prompts to have it refused.
    it("drops ids that could name a request", () => {
        expect(selectTrackedParts(["p1", request, "p2"])).toEqual(["p1", "p2"]);
    });
});
