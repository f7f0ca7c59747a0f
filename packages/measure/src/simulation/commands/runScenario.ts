/** Runs one scenario in virtual time. */
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
import { EngineFake } from "../model/engineFake.js";
import { EventQueue } from "../model/eventQueue.js";
import { createHostState, type Fleet, type HostState, MODEL, updateView } from "../model/hostState.js";
import { CLIENT_DELAY_MS, Network } from "../model/network.js";
import { generateArrivals } from "../queries/generateArrivals.js";
import { startGossip, updateLanes } from "./runGossip.js";
import { acceptRequest, failUnreachable, LONGEST_TIMEOUT_MS } from "./serveRequests.js";

export interface RunResult {
    readonly records: readonly RequestRecord[];
    /** Busy time of all engines over the arrival time, as a part of 1. */
    readonly utilisation: number;
}

const POOLS = 3;
/** Time until hosts know that a domain is cut off: missed heartbeats. */
const PARTITION_NOTICE_MS = 2_000;

export function runScenario(scenario: Scenario): RunResult {
    const events = new EventQueue();
    const fleet: Fleet = { scenario, events, network: new Network(), engines: createEngines(scenario, events) };
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
    faults[scenario.fault](fleet, hosts);
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

const nameDomain = (scenario: Scenario, position: number): FailureDomainId =>
    toFailureDomainId(`domain-${position % scenario.user.domains}`);

function createEngines(scenario: Scenario, events: EventQueue): Map<EndpointId, EngineFake> {
    const engines = new Map<EndpointId, EngineFake>();
    for (let position = 0; position < scenario.user.engines; position += 1) {
        const endpoint = toEndpointId(`engine-${String(position).padStart(2, "0")}`);
        const pool = toPoolId(`pool-${Math.floor(position / scenario.user.domains) % POOLS}`);
        engines.set(endpoint, new EngineFake(events, endpoint, nameDomain(scenario, position), pool));
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
    return createHostState(fleet, position, nameDomain(fleet.scenario, position), views);
}

type Fault = (fleet: Fleet, hosts: readonly HostState[]) => void;

const faults: Record<FaultName, Fault> = {
    "none": () => undefined,
    "1 engine dies": fleet => killEngines(fleet, [4]),
    "3 engines die": fleet => killEngines(fleet, [4, 9, 14]),
    "domain cut off": applyCutOff,
};

/** Kills the engines at these positions one after the other. */
function killEngines(fleet: Fleet, positions: readonly number[]): void {
    const engines = [...fleet.engines.values()];
    positions.forEach((position, order) => {
        const atMs = fleet.scenario.durationMs * (0.4 + 0.1 * order);
        fleet.events.schedule(atMs, () => engines[position]?.kill());
    });
}

/** Cuts the last domain off from the others for three tenths of the run. */
function applyCutOff(fleet: Fleet, hosts: readonly HostState[]): void {
    const { events, network, scenario } = fleet;
    const domain = nameDomain(scenario, scenario.user.domains - 1);
    const update = (): void => {
        for (const host of hosts) {
            for (const engine of fleet.engines.values()) {
                const isReachable = engine.alive && network.canReach(host.failureDomain, engine.failureDomain);
                updateView(host, engine.endpoint, view => setReachable(view, isReachable));
            }
            updateLanes(host);
        }
    };
    events.schedule(scenario.durationMs * 0.4, () => {
        network.setCutOff(domain);
        hosts.forEach(failUnreachable);
    });
    events.schedule(scenario.durationMs * 0.4 + PARTITION_NOTICE_MS, update);
    events.schedule(scenario.durationMs * 0.7, () => network.setCutOff(undefined));
    events.schedule(scenario.durationMs * 0.7 + PARTITION_NOTICE_MS, update);
}
