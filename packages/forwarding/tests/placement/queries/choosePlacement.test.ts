import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { EndpointLoad } from "../../../src/placement/model/endpointLoad.js";
import { defaultPlacementWeights } from "../../../src/placement/model/placementWeights.js";
import { choosePlacement } from "../../../src/placement/queries/choosePlacement.js";
import type { PlacementContext, PlacementRequest } from "../../../src/placement/queries/scoreEndpoint.js";
import { createAssignment, createLoad, engine, testDomain } from "../../engineFixture.js";

const context: PlacementContext = { engine, hostDomain: testDomain, nowMs: 0, weights: defaultPlacementWeights };
const short: PlacementRequest = { promptTokens: 5_000, answerTokens: 1_000, targetMs: 300, targetPauseMs: 250 };
const long: PlacementRequest = { promptTokens: 130_000, answerTokens: 700, targetMs: 2_500, targetPauseMs: 1_000 };
const huge: PlacementRequest = { ...long, promptTokens: 400_000 };
const decoding = createAssignment({ prefilledAtMs: -10 });
const prefilling = createAssignment({ prefillMs: 1_500, prefillTokens: 130_000, memoryTokens: 131_000 });
const idle = (count: number): EndpointLoad[] => Array.from({ length: count }, (_, n) => createLoad(String(n + 1)));

interface Case {
    readonly name: string;
    readonly request: PlacementRequest;
    readonly loads: readonly EndpointLoad[];
    /** Id of the expected primary endpoint. */
    readonly primaryId: string;
}

describe("choosePlacement", () => {
    const cases: readonly Case[] = [
        {
            // Guards against a short prompt that waits behind the prefill of a long one.
            name: "keeps a short prompt away from an endpoint that prefills a long one",
            request: short,
            loads: [createLoad("1", { assignments: [prefilling] }), createLoad("2")],
            primaryId: "2",
        },
        {
            name: "leaves idle endpoints to long prompts",
            request: short,
            loads: [createLoad("1"), createLoad("2", { assignments: [decoding] })],
            primaryId: "2",
        },
        {
            // Guards against pauses in the answers that are being decoded.
            name: "keeps a long prompt away from endpoints that decode short answers",
            request: long,
            loads: [createLoad("1", { assignments: [decoding] }), createLoad("2")],
            primaryId: "2",
        },
        {
            name: "prefers the local failure domain among equal endpoints",
            request: short,
            loads: [createLoad("1", { failureDomain: toFailureDomainId("b") }), createLoad("2")],
            primaryId: "2",
        },
        {
            name: "avoids an unresponsive endpoint",
            request: short,
            loads: [createLoad("1", { isUnresponsive: true }), createLoad("2", { assignments: [prefilling] })],
            primaryId: "2",
        },
        {
            // Guards against a connect timeout for each endpoint of a partitioned failure domain.
            name: "avoids a failure domain in which others are unresponsive",
            request: short,
            loads: [
                createLoad("1", { failureDomain: toFailureDomainId("b"), domainUnresponsiveFraction: 0.4 }),
                createLoad("2", { failureDomain: toFailureDomainId("c"), assignments: [decoding, decoding] }),
            ],
            primaryId: "2",
        },
        {
            name: "avoids an endpoint that failed recently",
            request: short,
            loads: [createLoad("1", { failures: 1 }), createLoad("2", { failureDomain: toFailureDomainId("b") })],
            primaryId: "2",
        },
        {
            // Guards against the eviction of the newest prompt when memory runs out.
            name: "keeps a prompt away from an endpoint without free memory for it",
            request: { ...long, promptTokens: 60_000 },
            loads: [
                createLoad("1", {
                    assignments: [createAssignment({ memoryTokens: 200_000, prefilledAtMs: -10, targetPauseMs: 9e9 })],
                }),
                createLoad("2", { failureDomain: toFailureDomainId("b") }),
            ],
            primaryId: "2",
        },
    ];
    it.each(cases)("$name", ({ request, loads, primaryId }) => {
        expect(choosePlacement(context, loads, request)?.primary.id).toBe(primaryId);
    });

    // Guards against a cost of NaN, which sent every request to one endpoint.
    it("has a finite cost for every load", () => {
        for (const active of [[], [decoding], [prefilling], [decoding, prefilling]]) {
            const placement = choosePlacement(context, [createLoad("1", { assignments: active })], short);
            expect(placement?.cost).toSatisfy(Number.isFinite);
        }
    });
    it("prefills a prompt on one endpoint if that meets the target", () => {
        expect(choosePlacement(context, idle(6), { ...long, promptTokens: 80_000 })?.helperShards).toEqual([]);
    });
    it("shards a prompt that one endpoint would prefill too late, without reserving memory", () => {
        const placement = choosePlacement(context, idle(6), { ...long, promptTokens: 200_000 });
        expect(placement?.helperShards.length).toBeGreaterThan(0);
        expect(placement?.helperShards.every(each => each.reserveTokens === 0)).toBe(true);
        expect(placement?.firstEventMs).toBeLessThan(2_500);
    });
    // Guards against work that stalls at the primary endpoint when the network path to another domain is partitioned.
    it("keeps the shards in one failure domain", () => {
        const loads = ["a", "b", "c"].flatMap(domain =>
            ["1", "2", "3"].map(id => createLoad(domain + id, { failureDomain: toFailureDomainId(domain) }))
        );
        const placement = choosePlacement(context, loads, { ...long, promptTokens: 220_000 });
        expect(placement?.helperShards.length).toBeGreaterThan(0);
        expect(placement?.helperShards.every(each => each.load.failureDomain === placement.primary.failureDomain)).toBe(
            true,
        );
    });
    it("reserves memory for a prompt that is larger than an endpoint's memory", () => {
        const placement = choosePlacement(context, idle(8), huge);
        const reserved = placement?.helperShards.reduce((sum, each) => sum + each.reserveTokens, 0) ?? 0;
        expect(reserved).toBeGreaterThan(huge.promptTokens - engine.memoryTokens);
        expect(placement?.helperShards.every(each => each.reserveTokens <= engine.memoryTokens)).toBe(true);
    });
    it("finds no placement where the memory of all endpoints is too small", () => {
        expect(choosePlacement(context, idle(1), huge)).toBeUndefined();
        expect(choosePlacement(context, [], short)).toBeUndefined();
    });
});
