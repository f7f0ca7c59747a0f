/** Schedules that once contradicted a promise, with the fault that they showed. */
import { expect, it } from "vitest";
import { runCalls } from "../src/calls/runCalls.js";
import { checkInTime } from "../src/checkers/checkCalls.js";
import { checkComplete } from "../src/checkers/checkComplete.js";
import { checkMemory } from "../src/checkers/checkMemory.js";
import { checkPartition } from "../src/checkers/checkPartition.js";
import { checkReclaim } from "../src/checkers/checkReclaim.js";
import { checkShares } from "../src/checkers/checkShares.js";
import { checkSilentConnections } from "../src/checkers/checkStreams.js";
import { runCluster } from "../src/cluster/runCluster.js";
import { type History, noSwitches } from "../src/index.js";
import { runShares } from "../src/limits/runShares.js";
import { runMemory } from "../src/memory/runMemory.js";
import { runStreams } from "../src/streams/runStreams.js";

const noChanges = { seed: 0, tickets: [], stops: [], withdrawals: [] };
const cutShort = { atMs: 1_839, durationMs: 1_662 };

const cases: { name: string; check: (history: History) => string[]; history: () => History; }[] = [
    {
        name: "both sides of a partition grow by demands of which the other side does not hear",
        check: checkShares,
        history: () =>
            runShares({
                seed: -12,
                demands: [
                    { atS: 108, host: 3, demand: 1_000 },
                    { atS: 90, host: 3, demand: 100 },
                    { atS: 87, host: 0, demand: 100 },
                    { atS: 123, host: 2, demand: 100 },
                    { atS: 74, host: 0, demand: 0 },
                ],
                cuts: [{ atS: 83, durationS: 69, split: 1 }, { atS: 82, durationS: 39, split: 2 }],
                restarts: [],
            }, noSwitches),
    },
    {
        name: "a partition ends before it is noticed and after a share has grown",
        check: checkShares,
        history: () =>
            runShares({
                seed: -1_042_622_907,
                demands: [{ atS: 109, host: 3, demand: 10 }],
                cuts: [{ atS: 115, durationS: 15, split: 3 }],
                restarts: [],
            }, noSwitches),
    },
    {
        name: "a host is killed while it stands still",
        check: checkInTime,
        history: () =>
            runCalls({
                seed: 0,
                requests: [{ era: 0, atMs: 0, host: 0, key: "k1", payload: "a", timeoutMs: 50, retries: 0 }],
                faults: [
                    { kind: "pause", atMs: 1, durationMs: 71, host: 0 },
                    { kind: "kill", atMs: 71, durationMs: 1, host: 0 },
                ],
                drains: [],
                sweeps: [],
            }, noSwitches),
    },
    {
        name: "a stop is sent into a cut that is shorter than the silence limit",
        check: checkReclaim,
        history: () =>
            runCluster({
                ...noChanges,
                stops: [{ atMs: 3_000, host: 0 }],
                faults: [
                    { kind: "cutDomains", ...cutShort, host: 0 },
                    { kind: "cutFromStore", ...cutShort, host: 2 },
                    { kind: "cutFromStore", ...cutShort, host: 3 },
                ],
            }, noSwitches),
    },
    {
        name: "a host that stood still answers the heartbeats that waited",
        check: checkPartition,
        history: () =>
            runCluster(
                { ...noChanges, faults: [{ kind: "pause", atMs: 19, durationMs: 10_268, host: 0 }] },
                noSwitches,
            ),
    },
    {
        name: "an owner that renews is cut off from the sweepers",
        check: checkMemory,
        history: () =>
            runMemory({
                seed: 0,
                attempts: [{ atMs: 0, host: 0, engine: 0, tokens: 1, durationMs: 25_009 }],
                faults: [
                    { kind: "cutFromPeers", atMs: 0, durationMs: 25_007, host: 0 },
                    { kind: "kill", atMs: 0, durationMs: 25_007, host: 2 },
                ],
                ignoresTtl: [true, false],
            }, noSwitches),
    },
    {
        name: "an engine repeats delivered tokens slowly",
        check: checkSilentConnections,
        history: () =>
            runStreams({
                prompts: [{
                    atMs: 0,
                    tokens: 2,
                    timeoutMs: 1_004,
                    attempts: [
                        { behaviour: "closes", after: 2, tokenDelayMs: 1, ignoresCancel: false },
                        { behaviour: "repeats", after: 0, tokenDelayMs: 334, ignoresCancel: false },
                    ],
                }],
            }, noSwitches),
    },
];

it.each(cases)("$name", ({ check, history }) => {
    const events = history();
    expect(checkComplete(events)).toEqual([]);
    expect(check(events)).toEqual([]);
});
