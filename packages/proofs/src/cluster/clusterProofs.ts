/** Proofs of the guarantees for configuration changes, reclaims and network partitions. */
import { checkConfiguration } from "../checkers/checkConfiguration.js";
import { checkPartition } from "../checkers/checkPartition.js";
import { checkReclaim } from "../checkers/checkReclaim.js";
import { buildScenario } from "../commands/findCounterexample.js";
import type { Proof } from "../model/proof.js";
import { clusterSchedules } from "./clusterSchedule.js";
import { runCluster } from "./runCluster.js";

const cluster = buildScenario({
    name: "cluster",
    covers: "4 hosts in 2 domains, store; 4 racing tickets, 2 stops, a withdrawal, 5 faults",
    schedules: clusterSchedules,
    run: runCluster,
});

export const clusterProofs: readonly Proof[] = [
    {
        name: "configuration",
        guarantee: "P8 an accepted configuration is in force within 5 s where news can reach, and never reverts",
        checkerName: "checkConfiguration",
        check: checkConfiguration,
        scenarios: [cluster],
    },
    {
        name: "reclaim",
        guarantee: "P6 a reclaimed endpoint gets no new work: at once, within 5 s, or after the longest silence",
        checkerName: "checkReclaim",
        check: checkReclaim,
        scenarios: [cluster],
    },
    {
        name: "partition",
        guarantee: "a partitioned domain goes on, and converges after the partition without a flood",
        checkerName: "checkPartition",
        check: checkPartition,
        scenarios: [cluster],
    },
];
