import {
    toEndpointId,
    toFailureDomainId,
    toFencingToken,
    toHostId,
    toIncarnationId,
    toModelId,
    toPoolId,
} from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    assignModel,
    canSendOrder,
    createLoadRateLimiter,
    decideLease,
    LEASE_MS,
    listObsoleteModels,
    LOAD_TIMEOUT_MS,
    MAX_ORDER_TRANSIT_MS,
    type ModelObject,
    type PlacementEndpoint,
    planLoads,
    releaseLoads,
} from "../../src/index.js";

const pool = toPoolId("p");
const model = (changes: Partial<ModelObject> = {}): ModelObject => ({
    kind: "model",
    name: toModelId("m"),
    version: "2",
    adapters: [],
    pools: [pool],
    replicas: 6,
    maxPromptTokens: 1,
    ...changes,
});
const endpoint = (index: number, changes: Partial<PlacementEndpoint> = {}): PlacementEndpoint => ({
    endpoint: toEndpointId(`e${index}`),
    pool,
    failureDomain: toFailureDomainId("abc"[index % 3]!),
    isUsable: true,
    models: [],
    ...changes,
});
const fleet = Array.from({ length: 30 }, (_unused, index) => endpoint(index));
const load = (endpoints: readonly PlacementEndpoint[], ids: readonly string[]): PlacementEndpoint[] =>
    endpoints.map(entry => ids.includes(entry.endpoint) ? { ...entry, models: ["m@2"] } : entry);

describe("assignModel guards against moves without need", () => {
    const first = assignModel(model(), fleet);

    it("spreads the copies evenly over the domains", () => {
        const domains = first.map(id => fleet.find(entry => entry.endpoint === id)!.failureDomain);
        expect(domains.sort()).toEqual(["a", "a", "b", "b", "c", "c"]);
    });

    it.each([
        { name: "nothing changed", change: (entry: PlacementEndpoint) => entry, moves: 0 },
        {
            name: "one endpoint with the model lost",
            change: (entry: PlacementEndpoint) => entry.endpoint === first[0] ? { ...entry, isUsable: false } : entry,
            moves: 1,
        },
        {
            name: "a domain lost",
            change: (entry: PlacementEndpoint) => entry.failureDomain === "a" ? { ...entry, isUsable: false } : entry,
            moves: 2,
        },
    ])("$name", ({ change, moves }) => {
        const next = assignModel(model(), load(fleet, first).map(change));
        expect(next.filter(id => !first.includes(id))).toHaveLength(moves);
    });
});

describe("releaseLoads guards against loads that all run at once after the loss of a rack", () => {
    it("stays below the domain's share of the rate, the model with the fewest copies first", () => {
        const rare = model({ name: toModelId("rare"), replicas: 3 });
        const held = load(fleet, assignModel(model({ replicas: 10 }), fleet));
        const rack = held.filter(entry => entry.models.length > 0).slice(0, 5).map(entry => entry.endpoint);
        const lost = held.map(entry => rack.includes(entry.endpoint) ? { ...entry, isUsable: false } : entry);
        const needed = planLoads([model({ replicas: 10 }), rare], lost);
        expect(needed.map(entry => entry.model).slice(0, 3)).toEqual(["rare", "rare", "rare"]);
        let rateLimiter = createLoadRateLimiter({ loadsPerSecond: 3, domains: 3 }, 0);
        const counts = [0, 500, 1_000, 2_000, 3_000].map(now => {
            const step = releaseLoads(rateLimiter, needed, now);
            rateLimiter = step.rateLimiter;
            return step.loads.length;
        });
        expect(counts).toEqual([1, 1, 2, 3, 4]);
    });

    it("releases a load again that did not finish in time", () => {
        const needed = planLoads([model({ replicas: 1 })], fleet);
        const first = releaseLoads(createLoadRateLimiter({ loadsPerSecond: 1, domains: 1 }, 0), needed, 0);
        const again = releaseLoads(first.rateLimiter, needed, LOAD_TIMEOUT_MS);
        expect([...again.rateLimiter.released.values()]).toEqual([LOAD_TIMEOUT_MS]);
    });
});

it("planLoads guards against an adapter that is loaded before its model, or never", () => {
    const adapted = model({ replicas: 1, adapters: ["x"] });
    const [first] = assignModel(adapted, fleet);
    const plan = (models: readonly string[]) =>
        planLoads([adapted], fleet.map(entry => entry.endpoint === first ? { ...entry, models } : entry))
            .map(entry => entry.adapter);
    expect(plan([])).toEqual([undefined]);
    expect(plan(["m@2"])).toEqual(["x"]);
    expect(plan(["m@2", "m/x@2"])).toEqual([]);
    expect(listObsoleteModels(endpoint(0, { models: ["m@2", "m/x@2"] }), [adapted])).toEqual([]);
});

describe("listObsoleteModels guards against the effect of a stale order", () => {
    it.each([
        { name: "current version", models: ["m@2"], expected: [] },
        { name: "old version beside the current one", models: ["m@2", "m@1"], expected: ["m@1"] },
        { name: "old version alone, still in use", models: ["m@1"], expected: [] },
        { name: "undeclared model", models: ["m@2", "x@1"], expected: ["x@1"] },
    ])("$name", ({ models, expected }) => {
        expect(listObsoleteModels(endpoint(1, { models }), [model()])).toEqual(expected);
    });
});

describe("leases guard against two hosts that order at the same time", () => {
    const clocks = (ms: number, wallMs = ms) => ({ wallMs, monotonicMs: ms });
    const localIncarnation = toIncarnationId("local");
    const lease = { holder: toHostId("x"), incarnation: toIncarnationId("other"), token: toFencingToken(7) };
    const row = { version: 3, lease };
    const takeover = LEASE_MS + MAX_ORDER_TRANSIT_MS;
    const observed = { version: 3, firstSeenAt: clocks(0) };
    it.each([
        { name: "absent", row: undefined, observed: undefined, now: clocks(0), expected: { action: "take", token: 1 } },
        { name: "first seen", row, observed: undefined, now: clocks(takeover), expected: { action: "wait" } },
        { name: "seen for too short a time", row, observed, now: clocks(takeover - 1), expected: { action: "wait" } },
        { name: "expired", row, observed, now: clocks(takeover), expected: { action: "take", token: 8, version: 3 } },
        {
            name: "renewed by its holder",
            row: { ...row, version: 4 },
            observed,
            now: clocks(takeover),
            expected: { action: "wait" },
        },
        { name: "wall clock stepped", row, observed, now: clocks(10, takeover), expected: { action: "wait" } },
        {
            name: "earlier lease of this incarnation",
            row: { ...row, lease: { ...lease, incarnation: localIncarnation } },
            observed: undefined,
            now: clocks(0),
            expected: { action: "take", token: 8 },
        },
    ])("$name", ({ row: found, observed: seen, now, expected }) => {
        expect(decideLease(found, localIncarnation, seen, now)).toMatchObject(expected);
    });

    it("a lease holder that was paused sends no order", () => {
        const held = { token: toFencingToken(1), version: 1, takenAt: clocks(0) };
        expect(canSendOrder(held, clocks(LEASE_MS - 1))).toBe(true);
        expect(canSendOrder(held, clocks(10, LEASE_MS))).toBe(false);
        expect(canSendOrder(held, clocks(LEASE_MS, 10))).toBe(false);
    });
});
