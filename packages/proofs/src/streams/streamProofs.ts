/** Proofs of the guarantees for streamed answers. */
import { checkSilentConnections, checkWholeStreams } from "../checkers/checkStreams.js";
import { buildScenario } from "../commands/findCounterexample.js";
import type { Proof } from "../model/proof.js";
import { runStreams } from "./runStreams.js";
import { streamSchedules } from "./streamSchedule.js";

const streams = buildScenario({
    name: "streams",
    covers: "3 prompts, 4 attempts each that go silent, close, repeat, skip or mix tokens, and late tokens",
    schedules: streamSchedules,
    run: runStreams,
});

export const streamProofs: readonly Proof[] = [
    {
        name: "whole-streams",
        guarantee: "P3 a streamed answer has every token of its own request once and in order",
        checkerName: "checkWholeStreams",
        check: checkWholeStreams,
        scenarios: [streams],
    },
    {
        name: "silent-connections",
        guarantee: "a silent connection is given up within its limit on progress",
        checkerName: "checkSilentConnections",
        check: checkSilentConnections,
        scenarios: [streams],
    },
];
