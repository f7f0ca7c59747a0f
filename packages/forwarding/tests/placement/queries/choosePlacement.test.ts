import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { EndpointLoad } from "../../../src/placement/model/endpointLoad.js";
import { defaultPlacementWeights } from "../../../src/placement/model/placementWeights.js";
import { choosePlacement } from "../../../src/placement/queries/choosePlacement.js";
import type { PromptNeed } from "../../../src/placement/queries/scoreEndpoint.js";
import { createBooking, createLoad, engine, ownDomain } from "../../engineFixture.js";

const view = { engine, ownDomain, nowMs: 0, weights: defaultPlacementWeights };
const short: PromptNeed = { promptTokens: 5_000, answerTokens: 1_000, targetMs: 300, targetPauseMs: 250 };
const long: PromptNeed = { promptTokens: 130_000, answerTokens: 700, targetMs: 2_500, targetPauseMs: 1_000 };
const huge: PromptNeed = { ...long, promptTokens: 400_000 };
const writer = createBooking({ readAtMs: -10 });
const reader = createBooking({ readMs: 1_500, readTokens: 130_000, memoryTokens: 131_000 });
const idle = (count: number): EndpointLoad[] => Array.from({ length: count }, (_, n) => createLoad(String(n + 1)));

interface Case {
    readonly name: string;
    readonly need: PromptNeed;
    readonly loads: readonly EndpointLoad[];
    readonly first: string;
}

describe("choosePlacement", () => {
    const cases: readonly Case[] = [
        {
            // Guards against a short prompt that waits behind a long one.
            name: "keeps a short prompt away from an endpoint that reads a long one",
            need: short,
            loads: [createLoad("1", { bookings: [reader] }), createLoad("2")],
            first: "2",
        },
        {
            name: "leaves idle endpoints to long prompts",
            need: short,
            loads: [createLoad("1"), createLoad("2", { bookings: [writer] })],
            first: "2",
        },
        {
            // Guards against pauses in the answers that are being written.
            name: "keeps a long prompt away from endpoints that write short answers",
            need: long,
            loads: [createLoad("1", { bookings: [writer] }), createLoad("2")],
            first: "2",
        },
        {
            name: "prefers the own failure domain among equals",
            need: short,
            loads: [createLoad("1", { failureDomain: toFailureDomainId("b") }), createLoad("2")],
            first: "2",
        },
        {
            name: "avoids a silent endpoint",
            need: short,
            loads: [createLoad("1", { isSilent: true }), createLoad("2", { bookings: [reader] })],
            first: "2",
        },
        {
            // Guards against a connect timeout for each endpoint of a domain that is cut off.
            name: "avoids a domain in which others are silent",
            need: short,
            loads: [
                createLoad("1", { failureDomain: toFailureDomainId("b"), domainSilence: 0.4 }),
                createLoad("2", { failureDomain: toFailureDomainId("c"), bookings: [writer, writer] }),
            ],
            first: "2",
        },
        {
            name: "avoids an endpoint that failed lately",
            need: short,
            loads: [createLoad("1", { failures: 1 }), createLoad("2", { failureDomain: toFailureDomainId("b") })],
            first: "2",
        },
        {
            // Guards against the eviction of the newest prompt when memory runs out.
            name: "keeps a prompt away from an endpoint without memory for it",
            need: { ...long, promptTokens: 60_000 },
            loads: [
                createLoad("1", {
                    bookings: [createBooking({ memoryTokens: 200_000, readAtMs: -10, targetPauseMs: 9e9 })],
                }),
                createLoad("2", { failureDomain: toFailureDomainId("b") }),
            ],
            first: "2",
        },
    ];
    it.each(cases)("$name", ({ need, loads, first }) => {
        expect(choosePlacement(view, loads, need)?.first.id).toBe(first);
    });

    // Guards against a cost that is no number, with which every request went to one endpoint.
    it("has a finite cost for every load", () => {
        for (const bookings of [[], [writer], [reader], [writer, reader]]) {
            const placement = choosePlacement(view, [createLoad("1", { bookings })], short);
            expect(placement?.cost).toSatisfy(Number.isFinite);
        }
    });
    it("reads a prompt on one endpoint where that is in time", () => {
        expect(choosePlacement(view, idle(6), { ...long, promptTokens: 80_000 })?.parts).toEqual([]);
    });
    it("splits a prompt that one endpoint would read too late, without reserving memory", () => {
        const placement = choosePlacement(view, idle(6), { ...long, promptTokens: 200_000 });
        expect(placement?.parts.length).toBeGreaterThan(0);
        expect(placement?.parts.every(part => part.reserveTokens === 0)).toBe(true);
        expect(placement?.firstEventMs).toBeLessThan(2_500);
    });
    // Guards against work that stalls at the first endpoint when the way to another domain is cut.
    it("keeps the parts in one failure domain", () => {
        const loads = ["a", "b", "c"].flatMap(domain =>
            ["1", "2", "3"].map(id => createLoad(domain + id, { failureDomain: toFailureDomainId(domain) }))
        );
        const placement = choosePlacement(view, loads, { ...long, promptTokens: 220_000 });
        expect(placement?.parts.length).toBeGreaterThan(0);
        expect(placement?.parts.every(part => part.load.failureDomain === placement.first.failureDomain)).toBe(true);
    });
    it("reserves memory for a prompt that is larger than an endpoint's memory", () => {
        const placement = choosePlacement(view, idle(8), huge);
        const reserved = placement?.parts.reduce((sum, part) => sum + part.reserveTokens, 0) ?? 0;
        expect(reserved).toBeGreaterThan(huge.promptTokens - engine.memoryTokens);
        expect(placement?.parts.every(part => part.reserveTokens <= engine.memoryTokens)).toBe(true);
    });
    it("finds no placement where the memory of all endpoints is too small", () => {
        expect(choosePlacement(view, idle(1), huge)).toBeUndefined();
        expect(choosePlacement(view, [], short)).toBeUndefined();
    });
});
