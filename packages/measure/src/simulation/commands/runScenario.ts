/** Simulates one scenario in virtual time. */
import { createEndpointView, setReachable } from "@currantrill/core";
import {
    type EndpointId,
    type FailureDomainId,
    toEndpointId,
    toFailureDomainId,
    toPoolId,
    toWorkspaceId,
} from "@currantrill/protocol";
import { ENGINE, type FaultName, type Scenario, WARM_UP_MS } from "../../model/scenario.js";
import type { RequestRecord } from "../model/arrival.js";
import { EventQueue } from "../model/eventQueue.js";
import { createHostState, type Fleet, type HostState, MODEL, updateView } from "../model/hostState.js";
import { SimulatedEngine } from "../model/simulatedEngine.js";
import { CLIENT_DELAY_MS, SimulatedNetwork } from "../model/simulatedNetwork.js";
import { generateArrivals } from "../queries/generateArrivals.js";
import { startGossip, updateLanes } from "./runGossip.js";
import { acceptRequest, failUnreachableAttempts, LONGEST_TIMEOUT_MS } from "./serveRequests.js";

/** Result of one simulation run. */
export interface RunResult {
    /** Requests that arrived after the warm-up. */
    readonly records: readonly RequestRecord[];
    /** Busy time of all engines as a fraction of the time over which requests arrive. */
    readonly utilisation: number;
}

const POOL_COUNT = 3;
/** Time until hosts detect, by missed or received heartbeats, that a partition has begun or ended. */
const PARTITION_DETECTION_MS = 2_000;

/** Runs a scenario until the last request has been answered or has timed out. */
export function runScenario(scenario: Scenario): RunResult {
    const events = new EventQueue();
    const fleet: Fleet = {
        scenario,
        events,
        network: new SimulatedNetwork(),
        engines: createEngines(scenario, events),
    };
    const hosts = Array.from({ length: scenario.user.hosts }, (_, position) => createHost(fleet, position));
    const records: RequestRecord[] = generateArrivals(scenario).map(arrival => ({
        arrival,
        outcome: "pending",
        firstTokenAtMs: undefined,
    }));
    for (const record of records) {
        const host = hosts[record.arrival.host];
        if (host !== undefined) {
            events.schedule(record.arrival.atMs + CLIENT_DELAY_MS, () => acceptRequest(host, record));
        }
    }
    startGossip(fleet, hosts, scenario.durationMs + LONGEST_TIMEOUT_MS);
    faultInjectors[scenario.fault](fleet, hosts);
    let busyMs = 0;
    events.schedule(scenario.durationMs, () => {
        busyMs = [...fleet.engines.values()].reduce((sum, engine) => sum + engine.busyMs, 0);
    });
    events.run(scenario.durationMs + LONGEST_TIMEOUT_MS);
    return {
        records: records.filter(record => record.arrival.atMs >= WARM_UP_MS),
        utilisation: busyMs / (fleet.engines.size * scenario.durationMs),
    };
}

const getFailureDomain = (scenario: Scenario, position: number): FailureDomainId =>
    toFailureDomainId(`domain-${position % scenario.user.domains}`);

function createEngines(scenario: Scenario, events: EventQueue): Map<EndpointId, SimulatedEngine> {
    const engines = new Map<EndpointId, SimulatedEngine>();
    for (let position = 0; position < scenario.user.engines; position += 1) {
        const endpoint = toEndpointId(`engine-${String(position).padStart(2, "0")}`);
        const pool = toPoolId(`pool-${Math.floor(position / scenario.user.domains) % POOL_COUNT}`);
        engines.set(endpoint, new SimulatedEngine(events, endpoint, getFailureDomain(scenario, position), pool));
    }
    return engines;
}

function createHost(fleet: Fleet, position: number): HostState {
    const views = [...fleet.engines.values()].map(engine =>
        createEndpointView(
            {
                kind: "endpoint",
                name: engine.endpoint,
                pool: engine.pool,
                url: "",
                failureDomain: engine.failureDomain,
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
            // The three large workspaces own one pool each.
            toWorkspaceId(engine.pool.replace("pool", "workspace")),
            [MODEL],
        )
    );
    return createHostState(fleet, position, getFailureDomain(fleet.scenario, position), views);
}

/** Schedules the events of a fault. */
type FaultInjector = (fleet: Fleet, hosts: readonly HostState[]) => void;

const faultInjectors: Record<FaultName, FaultInjector> = {
    "none": () => undefined,
    "1 engine dies": fleet => killEngines(fleet, [4]),
    "3 engines die": fleet => killEngines(fleet, [4, 9, 14]),
    "domain cut off": isolateLastDomain,
};

/** Kills the engines at these positions, the first after 0.4 of the run and each further one 0.1 of the run later. */
function killEngines(fleet: Fleet, positions: readonly number[]): void {
    const engines = [...fleet.engines.values()];
    positions.forEach((position, index) => {
        const atMs = fleet.scenario.durationMs * (0.4 + 0.1 * index);
        fleet.events.schedule(atMs, () => engines[position]?.kill());
    });
}

/** Partitions the last failure domain from the others for three tenths of the run. */
function isolateLastDomain(fleet: Fleet, hosts: readonly HostState[]): void {
    const { events, network, scenario } = fleet;
    const domain = getFailureDomain(scenario, scenario.user.domains - 1);
    const updateReachability = (): void => {
        for (const host of hosts) {
            for (const engine of fleet.engines.values()) {
                const isReachable = engine.alive && network.canReach(host.failureDomain, engine.failureDomain);
                updateView(host, engine.endpoint, view => setReachable(view, isReachable));
            }
            updateLanes(host);
        }
    };
    events.schedule(scenario.durationMs * 0.4, () => {
        network.setIsolatedDomain(domain);
        hosts.forEach(failUnreachableAttempts);
    });
    events.schedule(scenario.durationMs * 0.4 + PARTITION_DETECTION_MS, updateReachability);
    events.schedule(scenario.durationMs * 0.7, () => network.setIsolatedDomain(undefined));
    events.schedule(scenario.durationMs * 0.7 + PARTITION_DETECTION_MS, updateReachability);
}
