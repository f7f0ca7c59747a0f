import { toAttemptId, toHostId, toIncarnationId, toRevision } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    advanceStart,
    beginStart,
    createSweepState,
    decideInFlight,
    decideLending,
    emptyConfiguration,
    formatAllocationId,
    isStartComplete,
    recordHeartbeatAnswer,
    recordPlatformRead,
    sweepAllocations,
    trackReclaims,
} from "../src/index.js";
import { buildEndpoint } from "./builders.js";

const at = (ms: number) => ({ wallMs: ms, monotonicMs: ms });
const never = { confirmedAt: undefined };

describe("freshness guards against confirmations that only appear recent", () => {
    const endpoint = buildEndpoint("e1", { maxSilenceMs: 1_000 });
    const known = recordPlatformRead(never, at(0), toRevision(3), toRevision(3));
    const pong = (revision: number, confirmationAgeMs: number) => ({
        revision: toRevision(revision),
        confirmationAgeMs,
    });
    const cases = [
        { name: "never confirmed", freshness: never, now: at(0), usable: false },
        { name: "confirmed", freshness: known, now: at(1_000), usable: true },
        { name: "confirmation too old", freshness: known, now: at(1_001), usable: false },
        { name: "process suspended", freshness: known, now: { wallMs: 5_000, monotonicMs: 1 }, usable: false },
        {
            name: "delayed answer",
            freshness: recordHeartbeatAnswer(never, at(0), pong(3, 500), toRevision(3)),
            now: at(600),
            usable: false,
        },
        {
            name: "peer is ahead",
            freshness: recordHeartbeatAnswer(never, at(0), pong(4, 0), toRevision(3)),
            now: at(1),
            usable: false,
        },
        {
            name: "head is ahead",
            freshness: recordPlatformRead(never, at(0), toRevision(4), toRevision(3)),
            now: at(1),
            usable: false,
        },
    ];
    it.each(cases)("$name", ({ freshness, now, usable }) => {
        expect(decideLending(endpoint, new Set(), {}, freshness, undefined, now).usable).toBe(usable);
    });
});

describe("work in flight ends within the owner's grace period", () => {
    const endpoint = buildEndpoint("e1", { graceMs: 3_000 });
    const times = trackReclaims({}, new Map([[endpoint.name, { usable: false, reason: "stopped" }]]), at(0));
    const cases = [
        { name: "ends in time", expectedMs: 2_000, movable: true, atMs: 500, decision: "continue" },
        { name: "does not end in time", expectedMs: 9_000, movable: true, atMs: 500, decision: "move" },
        { name: "cannot be moved", expectedMs: 9_000, movable: false, atMs: 500, decision: "continue" },
        { name: "grace is over", expectedMs: 1, movable: true, atMs: 3_000, decision: "cancel" },
    ];
    it.each(cases)("$name", ({ expectedMs, movable, atMs, decision }) => {
        expect(decideInFlight(endpoint, times, { expectedMs, movable }, at(atMs))).toBe(decision);
    });
    it("a missing confirmation of the platform does not interrupt it", () => {
        const unconfirmed = new Map([[endpoint.name, { usable: false, reason: "silent" } as const]]);
        expect(trackReclaims({}, unconfirmed, at(0))).toEqual({});
    });
});

describe("a host without the platform is not ready before it knows a configuration", () => {
    const [first, second] = [toHostId("h1"), toHostId("h2")];
    const awaitingSeeds = advanceStart(beginStart([first, second]), { type: "platformFailed" });
    const receive = (peer: typeof first, revision: number) => (state: typeof awaitingSeeds) =>
        advanceStart(state, {
            type: "snapshotReceived",
            peer,
            configuration: { ...emptyConfiguration, revision: toRevision(revision) },
        });
    it.each([
        { name: "one seed is still pending", state: receive(first, 4)(awaitingSeeds), ready: false, revision: 4 },
        {
            name: "peers without a configuration",
            state: receive(second, 0)(receive(first, 0)(awaitingSeeds)),
            ready: false,
            revision: 0,
        },
        {
            name: "adopts the highest revision",
            state: receive(second, 2)(receive(first, 4)(awaitingSeeds)),
            ready: true,
            revision: 4,
        },
    ])("$name", ({ state, ready, revision }) => {
        expect(isStartComplete(state)).toBe(ready);
        expect(state.configuration.revision).toBe(revision);
    });
});

describe("a sweeper releases memory of an owner that is absent", () => {
    const incarnation = toIncarnationId("i1");
    const id = formatAllocationId({ incarnation, attempt: toAttemptId("a1"), index: 0 });
    const sweepAll = (remaining: readonly number[]) => {
        let state = createSweepState();
        return remaining.flatMap((remainingMs, position) => {
            const held = [{
                allocation_id: id,
                request_id: "r",
                owner: incarnation,
                tokens: 1,
                remaining_ms: remainingMs,
            }];
            const step = sweepAllocations(state, { held, members: new Set() }, position * 10_000);
            state = step.state;
            return step.effects.map(effect => effect.type);
        });
    };
    it.each([
        { name: "time to live has ended", remaining: [3_000, 0, 0, 0], effects: ["release"] },
        { name: "engine never counts down", remaining: [15_000, 15_000, 15_000, 15_000], effects: ["release"] },
        { name: "owner renews", remaining: [14_000, 13_000, 12_000, 13_000], effects: [] },
    ])("$name", ({ remaining, effects }) => expect(sweepAll(remaining)).toEqual(effects));
    it("ignores ids that were not made by a host of this system", () => {
        const held = [{ allocation_id: "foreign", request_id: "r", owner: "x", tokens: 1, remaining_ms: 1 }];
        const input = { held, members: new Set<typeof incarnation>() };
        expect(sweepAllocations(createSweepState(), input, 0).effects).toEqual([]);
    });
});
