import { describe, expect, it } from "vitest";
import { createFleetMemory } from "../../../src/warmup/model/fleetMemory.js";
import { createGranterTenure } from "../../../src/warmup/model/granterTenure.js";
import { createShareSlots } from "../../../src/warmup/model/shareSlots.js";
import { computeAllowance } from "../../../src/warmup/queries/computeAllowance.js";

const at = (ms: number): { wallMs: number; monotonicMs: number; } => ({ wallMs: 1_000_000 + ms, monotonicMs: ms });
const local = ["h0", "h1", "h2"];

describe("createFleetMemory", () => {
    // Guards against a host that is cut off and takes the rate of the whole fleet for its own.
    it.each([
        { name: "alone, for an hour", counts: { a: 0, b: 1 }, hosts: ["h1"], nowMs: 3_600_000, expected: 5 },
        {
            name: "without another domain, for an hour",
            counts: { a: 0, b: 3 },
            hosts: local,
            nowMs: 3_600_000,
            expected: 5,
        },
        {
            name: "without one peer, for a minute",
            counts: { a: 2, b: 2 },
            hosts: ["h0", "h1"],
            nowMs: 60_000,
            expected: 5,
        },
        {
            name: "without one peer, for an hour",
            counts: { a: 2, b: 2 },
            hosts: ["h0", "h1"],
            nowMs: 3_600_000,
            expected: 4,
        },
        { name: "in a larger fleet", counts: { a: 2, b: 4 }, hosts: [...local, "h3"], nowMs: 1, expected: 6 },
    ])("remembers the size of the fleet $name", ({ counts, hosts, nowMs, expected }) => {
        const memory = createFleetMemory("h1");
        memory.record({ counts: { a: 2, b: 3 }, localDomain: "b", localHosts: local }, 0);
        memory.record({ counts, localDomain: "b", localHosts: hosts }, nowMs);
        expect(memory.countHosts()).toBe(expected);
        expect(memory.getRank()).toBe(3);
    });
    it("knows of no peer at its start", () => {
        const memory = createFleetMemory("h1");
        memory.record({ counts: { b: 1 }, localDomain: "b", localHosts: ["h1"] }, 0);
        expect([memory.hasSeenPeer(), memory.countHosts(), memory.getRank()]).toEqual([false, 1, 0]);
    });
});

describe("createGranterTenure", () => {
    const createChecked = (...times: readonly number[]): ReturnType<typeof createGranterTenure> => {
        const tenure = createGranterTenure();
        times.forEach(ms => tenure.check(new Set(["a"]), at(ms)));
        return tenure;
    };
    it.each([
        { name: "begins", times: [0], nowMs: 100, expected: false },
        { name: "has granted for 2.5 s", times: [0, 1_000, 2_000], nowMs: 2_500, expected: true },
        // Guards against a host that resumes and goes on to grant before it has noticed its pause.
        { name: "was suspended and has not checked since", times: [0, 1_000, 2_000], nowMs: 9_000, expected: false },
        { name: "was suspended and has checked since", times: [0, 1_000, 2_000, 9_000], nowMs: 9_100, expected: false },
    ])("is established only if no other host grants: $name", ({ times, nowMs, expected }) => {
        expect(createChecked(...times).isEstablished("a", at(nowMs))).toBe(expected);
    });
    // Guards against a virtual machine whose monotonic clock stood still while it was suspended.
    it("counts a step of the wall clock as a suspension", () => {
        const tenure = createChecked(0, 1_000, 2_000);
        expect(tenure.isEstablished("a", { wallMs: 1_900_000, monotonicMs: 2_500 })).toBe(false);
    });
    it("begins anew for a domain that another host has granted meanwhile", () => {
        const tenure = createChecked(0, 1_000, 2_000);
        tenure.check(new Set(), at(2_500));
        tenure.check(new Set(["a"]), at(3_000));
        expect(tenure.isEstablished("a", at(3_500))).toBe(false);
    });
});

describe("computeAllowance", () => {
    it.each([
        {
            name: "of the whole fleet",
            visibleHosts: 6,
            isEstablished: true,
            expected: { requestsPerSecond: 26, capacity: 2 },
        },
        {
            name: "of two thirds",
            visibleHosts: 4,
            isEstablished: true,
            expected: { requestsPerSecond: 26 * 4 / 6, capacity: 2 },
        },
        {
            name: "of half of it",
            visibleHosts: 3,
            isEstablished: true,
            expected: { requestsPerSecond: 13, capacity: 1 },
        },
        { name: "alone", visibleHosts: 1, isEstablished: true, expected: undefined },
        { name: "that has just begun", visibleHosts: 6, isEstablished: false, expected: undefined },
    ])("lets a host $name grant its part", ({ visibleHosts, isEstablished, expected }) => {
        expect(computeAllowance(26, { visibleHosts, isEstablished, knownHosts: 6 })).toEqual(expected);
    });
});

describe("createShareSlots", () => {
    const share = { endpointId: "e", requestsPerSecond: 3, hosts: 4 };
    // Guards against two hosts in one slot, and against a host that sends twice in its own.
    it("gives each slot of a second to one host, once", () => {
        const hosts = Array.from({ length: 4 }, createShareSlots);
        const taken: number[] = [];
        for (let ms = 0; ms < 12_000; ms += 10) {
            hosts.forEach((slots, rank) => {
                if (slots.canTake({ ...share, rank }, at(ms))) {
                    slots.take("e", at(ms));
                    taken.push(rank);
                }
            });
        }
        expect(taken).toHaveLength(12);
        expect(new Set(taken.slice(0, 4)).size).toBe(4);
    });
    // Guards against a wall clock that is set back, so that a slot comes again.
    it("does not use a slot again after a step of the wall clock", () => {
        const slots = createShareSlots();
        const first = Array.from({ length: 400 }, (_, index) => at(index * 10))
            .find(now => slots.canTake({ ...share, rank: 0 }, now))!;
        slots.take("e", first);
        expect(slots.canTake({ ...share, rank: 0 }, { ...first, monotonicMs: first.monotonicMs + 500 })).toBe(false);
        expect(slots.canTake({ ...share, rank: 0 }, { ...first, monotonicMs: first.monotonicMs + 3_000 })).toBe(true);
    });
});
