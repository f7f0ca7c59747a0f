import {
    applyReport,
    createEndpointView,
    createRandomState,
    defaultRoutingSettings,
    type EndpointView,
    planLanes,
    type RoutingInput,
    routingPolicies,
    type RoutingPolicyName,
} from "@currantrill/core";
import {
    toEndpointId,
    toFailureDomainId,
    toModelId,
    toPoolId,
    toRequestId,
    toWorkspaceId,
} from "@currantrill/protocol";
import type { DecisionTime } from "../model/decisionTime.js";
import { ENGINE } from "../model/scenario.js";
import { computePercentiles } from "../queries/computeSummary.js";

/** Target size of a deployment, for which the decision time is measured. */
const TARGET_ENDPOINTS = 780;
const TARGET_DOMAINS = 6;
const TARGET_POOLS = 20;
/** Name objects are shared between endpoints, as in a parsed configuration. */
const DOMAINS = Array.from({ length: TARGET_DOMAINS }, (_, position) => toFailureDomainId(`domain-${position}`));
const OWNERS = Array.from({ length: TARGET_POOLS }, (_, position) => toWorkspaceId(`workspace-${position}`));
const MODELS = Array.from({ length: 8 }, (_, position) => toModelId(`model-${position}`));
const WARM_UP_DECISIONS = 2_000;
const DECISIONS = 5_000;

/** Measures the wall-clock time that each policy takes to choose among the endpoints of the target size. */
export function measureDecisions(): DecisionTime[] {
    const candidates = Array.from({ length: TARGET_ENDPOINTS }, (_, position) => createLoadedView(position));
    return (Object.keys(routingPolicies) as RoutingPolicyName[]).map(policy => measurePolicy(policy, candidates));
}

function measurePolicy(policy: RoutingPolicyName, candidates: readonly EndpointView[]): DecisionTime {
    const baseInput = buildInput(candidates);
    const times: number[] = [];
    let random = baseInput.random;
    for (let index = 0; index < WARM_UP_DECISIONS + DECISIONS; index += 1) {
        const isLong = index % 10 === 0;
        const request: RoutingInput["request"] = {
            ...baseInput.request,
            lengthClass: isLong ? "long" : "short",
            promptTokens: isLong ? 60_000 : 2_000,
        };
        const startedAt = performance.now();
        const result = routingPolicies[policy]({ ...baseInput, request, random });
        const elapsedMs = performance.now() - startedAt;
        random = result.random;
        if (index >= WARM_UP_DECISIONS) {
            times.push(elapsedMs * 1_000);
        }
    }
    const { p50, p99 } = computePercentiles(times);
    return { policy, endpoints: candidates.length, decisions: DECISIONS, p50Us: p50, p99Us: p99 };
}

function getAt<T>(values: readonly T[], position: number): T {
    const value = values[position % values.length];
    if (value === undefined) {
        throw new RangeError("cannot take a value from an empty list");
    }
    return value;
}

/** Creates the view of an endpoint whose load is spread pseudo-randomly over the positions. */
function createLoadedView(position: number): EndpointView {
    const view = createEndpointView(
        {
            kind: "endpoint",
            name: toEndpointId(`engine-${position}`),
            pool: toPoolId(`pool-${position % TARGET_POOLS}`),
            url: "",
            failureDomain: getAt(DOMAINS, position),
            lending: "lent",
            lendEpoch: 0,
            maxSilenceMs: 0,
            graceMs: 0,
            checksFencing: true,
            memoryTokens: ENGINE.memoryTokens,
            slots: ENGINE.slots,
            prefillTokensPerSecond: ENGINE.prefillTokensPerSecond,
            decodeTokensPerSecond: 1_000 / ENGINE.stepMs,
        },
        getAt(OWNERS, position),
        MODELS,
    );
    return applyReport(view, {
        sequence: 1,
        observedAtMs: 1_000,
        queuedPrefillTokens: position * 7_919 % 50_000,
        runningRequests: position % ENGINE.slots,
        memoryUsedTokens: position * 104_729 % ENGINE.memoryTokens,
    });
}

function buildInput(candidates: readonly EndpointView[]): RoutingInput {
    return {
        request: {
            request: toRequestId("request"),
            workspace: getAt(OWNERS, 1),
            model: getAt(MODELS, 3),
            lengthClass: "short",
            promptTokens: 2_000,
            maxTokens: 100,
            priority: "standard",
            deadlineMs: 60_000,
            prefixHits: new Map([[toEndpointId("engine-17"), 1_000]]),
        },
        candidates,
        failureDomain: getAt(DOMAINS, 0),
        lanes: planLanes(candidates, { shortTokensPerSecond: 3e6, longTokensPerSecond: 8e6 }),
        withheld: new Set(),
        settings: defaultRoutingSettings,
        random: createRandomState(1),
        now: 1_500,
    };
}
