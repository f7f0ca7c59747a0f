/** Schedules that once violated a guarantee. Each test is named after the situation in which the fault occurred. */
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
import { type History, noOverrides } from "../src/index.js";
import { runShares } from "../src/limits/runShares.js";
import { runMemory } from "../src/memory/runMemory.js";
import { runStreams } from "../src/streams/runStreams.js";

const noChanges = { seed: 0, tickets: [], stops: [], withdrawals: [] };
const shortPartition = { atMs: 1_839, durationMs: 1_662 };

const cases: { name: string; check: (history: History) => string[]; history: () => History; }[] = [
    {
        name: "shares on both sides of a partition grow for demands that the other side does not receive",
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
            }, noOverrides),
    },
    {
        name: "a partition ends before it is detected and after a share has grown",
        check: checkShares,
        history: () =>
            runShares({
                seed: -1_042_622_907,
                demands: [{ atS: 109, host: 3, demand: 10 }],
                cuts: [{ atS: 115, durationS: 15, split: 3 }],
                restarts: [],
            }, noOverrides),
    },
    {
        name: "a host is killed while it is paused",
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
            }, noOverrides),
    },
    {
        name: "a stop is sent during a partition that is shorter than the connection time-out",
        check: checkReclaim,
        history: () =>
            runCluster({
                ...noChanges,
                stops: [{ atMs: 3_000, host: 0 }],
                faults: [
                    { kind: "cutDomains", ...shortPartition, host: 0 },
                    { kind: "cutFromStore", ...shortPartition, host: 2 },
                    { kind: "cutFromStore", ...shortPartition, host: 3 },
                ],
            }, noOverrides),
    },
    {
        name: "a host answers deferred heartbeats after a pause",
        check: checkPartition,
        history: () =>
            runCluster(
                { ...noChanges, faults: [{ kind: "pause", atMs: 19, durationMs: 10_268, host: 0 }] },
                noOverrides,
            ),
    },
    {
        name: "an owner that renews its allocations is partitioned from the sweepers",
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
            }, noOverrides),
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
            }, noOverrides),
    },
];

it.each(cases)("$name", ({ check, history }) => {
    const events = history();
    expect(checkComplete(events)).toEqual([]);
    expect(check(events)).toEqual([]);
});
