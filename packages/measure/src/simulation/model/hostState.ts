/** State of one simulated host. The functions of the core make all decisions. */
import {
    createLaneDemandMeter,
    createRandomState,
    defaultRoutingSettings,
    emptyLanePlan,
    emptyPrefixIndex,
    emptyRequestQueue,
    type EndpointView,
    fullRetryBudget,
    type LaneDemand,
    type LaneDemandMeter,
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
import type { EventQueue } from "./eventQueue.js";
import type { SimulatedEngine } from "./simulatedEngine.js";
import type { SimulatedNetwork } from "./simulatedNetwork.js";

const NO_WITHHELD_ENDPOINTS: ReadonlySet<EndpointId> = new Set();

/** Model that all requests of a run use. */
export const MODEL = toModelId("model");

/** Simulated environment that all hosts of a run share. */
export interface Fleet {
    readonly scenario: Scenario;
    readonly events: EventQueue;
    readonly network: SimulatedNetwork;
    readonly engines: ReadonlyMap<EndpointId, SimulatedEngine>;
}

/** An attempt that has not ended. */
export interface RunningAttempt {
    readonly endpoint: EndpointId;
    readonly record: RequestRecord;
    /** Fails the attempt, as if its connection were lost. */
    readonly fail: () => void;
}

/** Mutable state of one simulated host. */
export interface HostState {
    readonly fleet: Fleet;
    readonly id: HostId;
    readonly failureDomain: FailureDomainId;
    readonly settings: RoutingSettings;
    /** State of each endpoint as known to this host. */
    readonly views: Map<EndpointId, EndpointView>;
    /** All requests that have arrived at this host. */
    readonly records: Map<RequestId, RequestRecord>;
    /** Running attempts, by attempt id. */
    readonly running: Map<string, RunningAttempt>;
    /** Members that the pending gangs of this host wait for, by request. Routing avoids them for other requests. */
    readonly withheld: Map<RequestId, readonly EndpointId[]>;
    /** Last demand that this host received from each host. */
    readonly demands: Map<HostId, LaneDemand>;
    /** Measures the demand at this host. */
    meter: LaneDemandMeter;
    /** Division of the endpoints into lanes for short and long requests. */
    lanes: LanePlan;
    queue: RequestQueue;
    /** Prefixes that endpoints have cached, as known to this host. */
    prefixes: PrefixIndex;
    retries: RetryBudget;
    random: RandomState;
    /** Number of attempts so far, for attempt ids. */
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
        meter: createLaneDemandMeter(0),
        lanes: emptyLanePlan,
        queue: emptyRequestQueue,
        prefixes: emptyPrefixIndex,
        retries: fullRetryBudget,
        random: createRandomState(fleet.scenario.seed * 1_000 + position),
        attempts: 0,
    };
}

/** Builds the input of the routing policies for one request at the current time. */
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
        withheld: host.withheld.size === 0 ? NO_WITHHELD_ENDPOINTS : new Set([...host.withheld.values()].flat()),
        settings: host.settings,
        random: host.random,
        now: host.fleet.events.now,
    };
}

export function updateView(host: HostState, endpoint: EndpointId, update: (view: EndpointView) => EndpointView): void {
    const view = host.views.get(endpoint);
    if (view !== undefined) {
        host.views.set(endpoint, update(view));
    }
}
