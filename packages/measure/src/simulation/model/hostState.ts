/** State of one simulated host. All decisions on it are made by the functions of the core. */
import {
    createDemandMeter,
    createRandomState,
    defaultRoutingSettings,
    type DemandMeter,
    emptyLanePlan,
    emptyPrefixIndex,
    emptyRequestQueue,
    type EndpointView,
    fullRetryBudget,
    type LaneDemand,
    type LanePlan,
    type PrefixIndex,
    type RandomState,
    type RequestQueue,
    type RetryBudget,
    type RoutingInput,
    type RoutingSettings,
} from "@currantrill/core";
import {
    type EndpointId,
    type FailureDomainId,
    type HostId,
    type RequestId,
    toHostId,
    toModelId,
} from "@currantrill/protocol";
import { ENGINE, type Scenario } from "../../model/scenario.js";
import type { Arrival, RequestRecord } from "./arrival.js";
import type { EngineFake } from "./engineFake.js";
import type { EventQueue } from "./eventQueue.js";
import type { Network } from "./network.js";

const NOTHING_WITHHELD: ReadonlySet<EndpointId> = new Set();

export const MODEL = toModelId("model");

/** What the hosts of a run share. */
export interface Fleet {
    readonly scenario: Scenario;
    readonly events: EventQueue;
    readonly network: Network;
    readonly engines: ReadonlyMap<EndpointId, EngineFake>;
}

export interface RunningAttempt {
    readonly endpoint: EndpointId;
    readonly record: RequestRecord;
    readonly fail: () => void;
}

export interface HostState {
    readonly fleet: Fleet;
    readonly id: HostId;
    readonly failureDomain: FailureDomainId;
    readonly settings: RoutingSettings;
    readonly views: Map<EndpointId, EndpointView>;
    readonly records: Map<RequestId, RequestRecord>;
    /** Attempts on engines by attempt id. */
    readonly running: Map<string, RunningAttempt>;
    /** Members that pending gangs of this host wait for. */
    readonly withheld: Map<RequestId, readonly EndpointId[]>;
    /** Demand of each host as last published. */
    readonly demands: Map<HostId, LaneDemand>;
    meter: DemandMeter;
    lanes: LanePlan;
    queue: RequestQueue;
    prefixes: PrefixIndex;
    retries: RetryBudget;
    random: RandomState;
    attempts: number;
}

export function createHostState(
    fleet: Fleet,
    position: number,
    failureDomain: FailureDomainId,
    views: readonly EndpointView[],
): HostState {
    const id = toHostId(`host-${position}`);
    return {
        fleet,
        id,
        failureDomain,
        settings: {
            ...defaultRoutingSettings,
            shortRequestWeight: fleet.scenario.user.shortRequestWeight,
            chunkTokens: ENGINE.chunkTokens,
        },
        views: new Map(views.map(view => [view.endpoint, view])),
        records: new Map(),
        running: new Map(),
        withheld: new Map(),
        demands: new Map(),
        meter: createDemandMeter(0),
        lanes: emptyLanePlan,
        queue: emptyRequestQueue,
        prefixes: emptyPrefixIndex,
        retries: fullRetryBudget,
        random: createRandomState(fleet.scenario.seed * 1_000 + position),
        attempts: 0,
    };
}

/** Input of the routing core for one request now. */
export function buildRoutingInput(
    host: HostState,
    arrival: Arrival,
    prefixHits: RoutingInput["request"]["prefixHits"],
): RoutingInput {
    return {
        request: {
            request: arrival.request,
            workspace: arrival.workspace,
            model: MODEL,
            lengthClass: arrival.lengthClass,
            promptTokens: arrival.promptTokens,
            maxTokens: arrival.outputTokens,
            priority: arrival.priority,
            deadlineMs: arrival.deadlineMs,
            prefixHits,
        },
        candidates: [...host.views.values()],
        failureDomain: host.failureDomain,
        lanes: host.lanes,
        withheld: host.withheld.size === 0 ? NOTHING_WITHHELD : new Set([...host.withheld.values()].flat()),
        settings: host.settings,
        random: host.random,
        now: host.fleet.events.now,
    };
}

/** Replaces the view of one endpoint. */
export function updateView(host: HostState, endpoint: EndpointId, change: (view: EndpointView) => EndpointView): void {
    const view = host.views.get(endpoint);
    if (view !== undefined) {
        host.views.set(endpoint, change(view));
    }
}
