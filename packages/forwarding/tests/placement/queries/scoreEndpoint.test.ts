import { describe, expect, it } from "vitest";
import { defaultPlacementWeights as weights } from "../../../src/placement/model/placementWeights.js";
import { replayPrefill } from "../../../src/placement/queries/replayPrefill.js";
import { scoreEndpoint } from "../../../src/placement/queries/scoreEndpoint.js";
import { createAssignment, createLoad, engine, testDomain } from "../../engineFixture.js";

const nowMs = 1_000;
const prompt = { promptTokens: 2_000, answerTokens: 1_000, targetMs: 300, targetPauseMs: 250 };
/** Prefill time of the prompt. */
const PREFILL_MS = 11;
/** Time of an iteration of the engine, in which all requests that are decoding get an event. */
const ITERATION_MS = 40;
/** Expected time of prefills that join the iteration, with a backlog of 60 ms. */
const JOINED_MS = 24;
const pending = createAssignment({ prefillMs: 60, startedAtMs: nowMs });
const decoding = createAssignment({ startedAtMs: 0, prefilledAtMs: 100 });

describe("scoreEndpoint", () => {
    // Guards against bursts of short prompts that are placed behind each other and come late: prompts whose prefill is
    // pending are decoding when the next one is prefilled, so that its first event waits for an iteration of all, and
    // further ones join that iteration.
    it.each([
        { name: "on an idle endpoint", assignments: [], expectedMs: PREFILL_MS },
        {
            name: "behind a prompt whose prefill is pending",
            assignments: [pending],
            expectedMs: 60 + JOINED_MS + PREFILL_MS + ITERATION_MS,
        },
        {
            name: "beside a prompt that is decoding",
            assignments: [decoding],
            expectedMs: ITERATION_MS / 2 + PREFILL_MS + ITERATION_MS,
        },
        {
            name: "beside a prompt that is decoding, and behind one whose prefill is pending",
            assignments: [decoding, pending],
            expectedMs: ITERATION_MS / 2 + 60 + JOINED_MS + PREFILL_MS + ITERATION_MS,
        },
    ])("estimates the first event of a prompt $name", ({ assignments, expectedMs }) => {
        const load = createLoad("1", { assignments });
        const pendingPrefills = new Map([[load, replayPrefill(load, nowMs)]]);
        const context = { engine, weights, hostDomain: testDomain, nowMs, pendingPrefills };
        const { firstEventMs } = scoreEndpoint(context, load, prompt, 1, false);
        expect(Math.round(firstEventMs)).toBe(expectedMs);
    });
});
