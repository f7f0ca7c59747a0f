/** Where a prompt of a large fleet is served, by the patterns of load that a coordinator sees. */
import { type FailureDomainId, toFailureDomainId, toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { PlacementAnswer, PlacementQuery } from "../../../src/coordination/model/placementQuery.js";
import { decidePlacement } from "../../../src/coordination/queries/decidePlacement.js";
import type { EndpointLoad } from "../../../src/placement/model/endpointLoad.js";
import { defaultPlacementWeights } from "../../../src/placement/model/placementWeights.js";
import { createAssignment, createLoad, engine, testDomain } from "../../engineFixture.js";

const south = toFailureDomainId("south");
const NOW_MS = 10_000;

const shortPrompt: PlacementQuery = {
    service: toServiceId("s"),
    promptTokens: 5_000,
    answerTokens: 400,
    targetMs: 300,
    targetPauseMs: 250,
    excludedIds: [],
    mayRedirect: true,
};

/** An endpoint that still has to prefill a long prompt. */
const createBusyLoad = (id: string, changes: Partial<EndpointLoad> = {}): EndpointLoad =>
    createLoad(id, {
        ...changes,
        assignments: [createAssignment({
            endpointId: id,
            prefillTokens: 150_000,
            memoryTokens: 150_000,
            prefillMs: 2_300,
            targetMs: 3_000,
            targetPauseMs: 1_000,
            startedAtMs: NOW_MS - 100,
        })],
    });

function decide(
    local: readonly EndpointLoad[],
    remote: readonly EndpointLoad[],
    changes: Partial<PlacementQuery> = {},
    otherDomains: readonly FailureDomainId[] = [south],
    random = 0,
): PlacementAnswer {
    return decidePlacement({ ...shortPrompt, ...changes }, {
        context: { engine, hostDomain: testDomain, nowMs: NOW_MS, weights: defaultPlacementWeights },
        listLoads: domain => domain === testDomain ? local : remote.filter(load => load.failureDomain === domain),
        otherDomains,
        random,
    });
}

const idleSouth = [createLoad("9", { failureDomain: south })];

describe("decidePlacement", () => {
    // Guards against work that leaves its domain while the domain can serve it in time.
    it("serves a prompt in the local domain while that is in time", () => {
        expect(decide([createLoad("1"), createBusyLoad("2")], idleSouth)).toMatchObject({
            kind: "placed",
            placement: { primaryId: "1", assignedCount: 0 },
        });
    });
    // Guards against short prompts that wait behind a wave of long ones while another domain has room.
    it("names another domain during a wave of long prompts in the local one", () => {
        expect(decide([createBusyLoad("1"), createBusyLoad("2")], idleSouth)).toMatchObject({
            kind: "redirected",
            domain: south,
        });
    });
    // Guards against prompts that are sent to and fro while all domains are in the same wave.
    it("stays in the local domain if the others are as busy", () => {
        const busySouth = [createBusyLoad("9", { failureDomain: south })];
        expect(decide([createBusyLoad("1")], busySouth).kind).toBe("placed");
    });
    it("stays in the local domain if the other one has no coordinator, or if the query forbids to redirect", () => {
        expect(decide([createBusyLoad("1")], idleSouth, {}, []).kind).toBe("placed");
        expect(decide([createBusyLoad("1")], idleSouth, { mayRedirect: false }).kind).toBe("placed");
    });
    // Guards against a domain that takes redirected prompts by outdated loads, and serves them later than the first one.
    it("refuses a redirected prompt that it cannot serve at a lower cost", () => {
        expect(decide([createBusyLoad("1")], [], { mayRedirect: false, maxCost: 0.5 })).toEqual({ kind: "none" });
        expect(decide([createLoad("1")], [], { mayRedirect: false, maxCost: 0.5 }).kind).toBe("placed");
    });
    // Guards against prompts that are lost with the endpoints of a domain.
    it("names another domain if all local endpoints are unresponsive, gone or excluded", () => {
        expect(decide([createLoad("1", { isUnresponsive: true })], idleSouth).kind).toBe("redirected");
        expect(decide([], idleSouth).kind).toBe("redirected");
        expect(decide([createLoad("1")], idleSouth, { excludedIds: ["1"] }).kind).toBe("redirected");
        expect(decide([], [])).toEqual({ kind: "none" });
    });
    // Guards against an evacuated domain whose prompts all go to one other domain until its load becomes known.
    it("spreads the prompts of a domain without endpoints over those that serve them in time", () => {
        const [east, west] = ["east", "west"].map(toFailureDomainId);
        const remote = [
            createLoad("8", { failureDomain: east! }),
            createBusyLoad("9", { failureDomain: west! }),
            ...idleSouth,
        ];
        const choose = (random: number, loads = remote): unknown =>
            decide([], loads, {}, [east!, west!, south], random);
        expect([0, 0.49, 0.5, 0.99].map(random => choose(random))).toMatchObject(
            [east, east, south, south].map(domain => ({ kind: "redirected", domain })),
        );
        const busyEast = createBusyLoad("8", { failureDomain: east!, slowdown: 2 });
        expect(choose(0, [busyEast, remote[1]!])).toMatchObject({ kind: "redirected", domain: west });
    });
});
