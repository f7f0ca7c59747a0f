/** State shared by all modules of a cluster run. */
import type { HistoryRecorder } from "../model/history.js";
import type { SafeguardOverrides } from "../model/proof.js";
import type { FakeStore } from "../simulation/fakeStore.js";
import type { FaultPlan } from "../simulation/faults.js";
import type { HostProcess, SimulatedHost } from "../simulation/hostProcess.js";
import type { Random } from "../simulation/random.js";
import type { Timeline } from "../simulation/timeline.js";
import type { ClusterNode } from "./clusterNode.js";
import { CLUSTER_HOST_COUNT, type ClusterSchedule } from "./clusterSchedule.js";

export interface ClusterWorld {
    readonly schedule: ClusterSchedule;
    readonly timeline: Timeline;
    readonly recorder: HistoryRecorder;
    readonly overrides: SafeguardOverrides;
    readonly faults: FaultPlan;
    readonly random: Random;
    readonly store: FakeStore;
    readonly hosts: SimulatedHost[];
    /** The node of each process, including processes that have ended. */
    readonly nodes: Map<HostProcess, ClusterNode>;
    nextOperation: number;
}

/** Finds the node that runs on a host; `undefined` while no process runs there. Indexes wrap around. */
export function findNode(world: ClusterWorld, host: number): ClusterNode | undefined {
    const process = world.hosts[host % CLUSTER_HOST_COUNT]?.getProcess();
    return process && world.nodes.get(process);
}
