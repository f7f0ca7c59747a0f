/** What the parts of a cluster run share. */
import type { HistoryRecorder } from "../model/history.js";
import type { Switches } from "../model/proof.js";
import type { FakeStore } from "../simulation/fakeStore.js";
import type { FaultPlan } from "../simulation/faults.js";
import type { HostProcess, SimulatedHost } from "../simulation/hostProcess.js";
import type { Random } from "../simulation/random.js";
import type { Timeline } from "../simulation/timeline.js";
import type { ClusterNode } from "./clusterNode.js";
import { CLUSTER_HOSTS, type ClusterSchedule } from "./clusterSchedule.js";

export interface ClusterWorld {
    readonly schedule: ClusterSchedule;
    readonly timeline: Timeline;
    readonly recorder: HistoryRecorder;
    readonly switches: Switches;
    readonly faults: FaultPlan;
    readonly random: Random;
    readonly store: FakeStore;
    readonly hosts: SimulatedHost[];
    readonly nodes: Map<HostProcess, ClusterNode>;
    nextOperation: number;
}

/** Finds the node that runs on a host; `undefined` while the host has no process. */
export function getNode(world: ClusterWorld, host: number): ClusterNode | undefined {
    const process = world.hosts[host % CLUSTER_HOSTS]?.getProcess();
    return process && world.nodes.get(process);
}
