/** A system of processes on loopback. */
import type { Topology, TopologyProcess } from "@currantrill/protocol";
import type { ChildProcess } from "node:child_process";
import type { RunningRelay } from "../commands/startRelay.js";
import type { SystemSettings } from "./systemOptions.js";

/** How a process is started, so that it can be started again with the same name and address. */
export interface ProcessPlan {
    readonly name: string;
    readonly role: TopologyProcess["role"];
    readonly failureDomain: string;
    readonly program: string;
    readonly args: readonly string[];
    /** `ip:port` that other processes use. */
    readonly address: string;
    readonly operatorAddress?: string;
    /** All addresses that it listens on. */
    readonly addresses: readonly string[];
}

export interface SystemProcess {
    readonly plan: ProcessPlan;
    readonly child: ChildProcess;
}

export interface RunningSystem {
    readonly settings: SystemSettings;
    /** Directory of the settings files and of one log file for each process. Removed by `stop`. */
    readonly directory: string;
    readonly processes: Map<string, SystemProcess>;
    readonly relay: RunningRelay | undefined;
    /** The topology now; a restarted process has a new process id. */
    readonly topology: Topology;
    /** Number of the last ticket that the system's own commands applied. */
    lastTicket: number;
    /** Ends the hosts gracefully and then everything else. Returns how each host ended. */
    readonly stop: () => Promise<HostExit[]>;
    /** Ends everything at once. */
    readonly kill: () => Promise<void>;
}

/** Exit code of a host; `null` if a signal ended it. */
export interface HostExit {
    readonly name: string;
    readonly code: number | null;
}

/** Finds a process. Throws if the name is unknown. */
export function getProcess(system: RunningSystem, name: string): SystemProcess {
    const entry = system.processes.get(name);
    if (entry === undefined) {
        throw new Error(`no process ${name}; there are ${[...system.processes.keys()].join(", ")}`);
    }
    return entry;
}

/** Lists the processes of a role, in the order of their start. */
export const listProcesses = (system: RunningSystem, role: TopologyProcess["role"]): SystemProcess[] =>
    [...system.processes.values()].filter(entry => entry.plan.role === role);

/** URL of a process: of the callers' listener for a host. */
export const getUrl = (system: RunningSystem, name: string): string =>
    `http://${getProcess(system, name).plan.address}`;

/** URL of a host's operator listener. */
export const getOperatorUrl = (system: RunningSystem, name: string): string =>
    `http://${getProcess(system, name).plan.operatorAddress ?? ""}`;
