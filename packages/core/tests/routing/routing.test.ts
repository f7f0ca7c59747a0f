import { toEndpointId, toFailureDomainId, toModelId, toRequestId, toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    createRandomState,
    defaultRoutingSettings,
    type EndpointView,
    getLengthClass,
    planGang,
    planLanes,
    type RoutingInput,
    routingPolicies,
    type RoutingPolicyName,
} from "../../src/index.js";
import { createView } from "../createView.js";

const buildInput = (
    candidates: readonly EndpointView[],
    promptTokens: number,
    changes: Partial<RoutingInput> = {},
): RoutingInput => ({
    request: {
        request: toRequestId("r"),
        workspace: toWorkspaceId("owner"),
        model: toModelId("model"),
        lengthClass: getLengthClass(promptTokens),
        promptTokens,
        maxTokens: 100,
        priority: "standard",
        deadlineMs: 60_000,
        prefixHits: new Map(),
    },
    candidates,
    failureDomain: toFailureDomainId("local"),
    lanes: { longLane: new Set([toEndpointId("long")]) },
    withheld: new Set(),
    settings: defaultRoutingSettings,
    random: createRandomState(1),
    now: 1_000,
    ...changes,
});
const policyNames = Object.keys(routingPolicies) as RoutingPolicyName[];

describe.each(policyNames)("%s never sends a request to an unsuitable endpoint", policy => {
    const cases = [
        { name: "reclaimed", changes: { usable: false }, tokens: 1_000, expected: "refuse" },
        { name: "unreachable", changes: { reachable: false }, tokens: 1_000, expected: "refuse" },
        { name: "suspect", changes: { suspectUntilMs: 1_001 }, tokens: 1_000, expected: "refuse" },
        { name: "without the model", changes: { models: new Set(["other"]) }, tokens: 1_000, expected: "refuse" },
        { name: "with too little memory", changes: {}, tokens: 900_000, expected: "gang" },
        { name: "suitable", changes: {}, tokens: 1_000, expected: "send" },
    ];
    it.each(cases)("$name", ({ changes, tokens, expected }) => {
        const { outcome } = routingPolicies[policy](buildInput([createView("a", changes)], tokens));
        expect(outcome.kind).toBe(expected);
    });
});

describe("adaptive guards against slow first tokens", () => {
    const busy = { drainedAtMs: 10_000 };
    const cases = [
        {
            name: "short avoids the long lane",
            views: [createView("long"), createView("a")],
            tokens: 1_000,
            expected: "a",
        },
        { name: "long uses its lane", views: [createView("long"), createView("a")], tokens: 60_000, expected: "long" },
        { name: "idle before busy", views: [createView("a", busy), createView("b")], tokens: 1_000, expected: "b" },
        {
            name: "owned before borrowed",
            views: [createView("a", { poolOwner: toWorkspaceId("other") }), createView("b")],
            tokens: 1_000,
            expected: "b",
        },
        {
            name: "with enough free memory before idle",
            views: [createView("a", { freeMemoryTokens: 10 }), createView("b", busy)],
            tokens: 1_000,
            expected: "b",
        },
        {
            name: "long stays in the host's queue while the engine is busy",
            views: [createView("long", busy)],
            tokens: 60_000,
            expected: "wait",
        },
        {
            name: "long leaves memory free for short requests",
            views: [createView("long", { freeMemoryTokens: 70_000 })],
            tokens: 60_000,
            expected: "wait",
        },
    ];
    it.each(cases)("$name", ({ views, tokens, expected }) => {
        const { outcome } = routingPolicies.adaptive(buildInput(views, tokens));
        expect(outcome.kind === "send" ? outcome.endpoint.endpoint : outcome.kind).toBe(expected);
    });
});

describe("planGang", () => {
    const views = ["c", "a", "b"].map(name => createView(name));
    it.each(policyNames)("%s covers the prompt within the free memory, in ascending order", policy => {
        const { plan } = planGang(policy, buildInput(views, 900_000));
        const members = plan.kind === "members" ? plan.members : [];
        expect(members.map(member => member.endpoint)).toEqual(["a", "b", "c"]);
        expect(members.reduce((sum, member) => sum + member.tokens, 0)).toBeGreaterThanOrEqual(900_100);
        expect(Math.max(...members.map(member => member.tokens))).toBeLessThanOrEqual(400_000);
    });

    it("waits while memory is in use and reports a prompt that can never fit", () => {
        const full = views.map(view => ({ ...view, freeMemoryTokens: 0 }));
        expect(planGang("adaptive", buildInput(full, 900_000)).plan.kind).toBe("wait");
        expect(planGang("adaptive", buildInput(views.slice(1), 900_000)).plan.kind).toBe("too_large");
    });
});

describe("planLanes follows the demand of long prompts and keeps both lanes non-empty", () => {
    const views = Array.from({ length: 20 }, (_, position) => createView(`e${position}`));
    const cases = [
        { short: 0, long: 0, expected: 19 },
        { short: 30_000, long: 100_000, expected: 13 },
        { short: 40_000, long: 150_000, expected: 15 },
        { short: 400_000, long: 1_000, expected: 1 },
    ];
    it.each(cases)("short $short, long $long tokens per second", ({ short, long, expected }) => {
        const plan = planLanes(views, { shortTokensPerSecond: short, longTokensPerSecond: long });
        expect(plan.longLane.size).toBe(expected);
    });
});

describe("planLanes guards against short requests that depend on another failure domain", () => {
    const names = ["a", "b", "c"];
    const views = names.flatMap(domain =>
        [1, 2].map(index => createView(`${domain}${index}`, { failureDomain: toFailureDomainId(domain) }))
    );
    it.each(names)("leaves an endpoint of domain %s to short requests at no demand", domain => {
        const { longLane } = planLanes(views, { shortTokensPerSecond: 0, longTokensPerSecond: 0 });
        const shortLane = views.filter(view =>
            view.failureDomain === toFailureDomainId(domain) && !longLane.has(view.endpoint)
        );
        expect(shortLane).toHaveLength(1);
    });
});

describe("adaptive guards against using remote endpoints, which may be partitioned, while the local domain is idle", () => {
    const remote = { failureDomain: toFailureDomainId("remote") };
    const views = [createView("local"), ...["remote1", "remote2", "remote3"].map(name => createView(name, remote))];
    it.each([1, 2, 3, 4, 5])("stays in the local domain, seed %i", seed => {
        const { outcome } = routingPolicies.adaptive(buildInput(views, 1_000, { random: createRandomState(seed) }));
        expect(outcome).toMatchObject({ kind: "send", endpoint: { endpoint: toEndpointId("local") } });
    });
});
