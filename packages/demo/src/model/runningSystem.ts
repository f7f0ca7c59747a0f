/** Model of a running demo system: processes on loopback with their plans and addresses. */
import type { Topology, TopologyProcess } from "@currantrill/protocol";
import type { ChildProcess } from "node:child_process";
import type { RunningFaultProxy } from "../commands/startFaultProxy.js";
import type { SystemSettings } from "./systemOptions.js";

/** Everything needed to start a process, and to restart it with the same name and addresses. */
export interface ProcessPlan {
    readonly name: string;
    readonly role: TopologyProcess["role"];
    readonly failureDomain: string;
    /** Path of the JavaScript file to run. */
    readonly program: string;
    readonly args: readonly string[];
    /** `ip:port` of the main listener: for a host the listener for callers. */
    readonly address: string;
    /** `ip:port` of the listener for operators; only a host has one. */
    readonly operatorAddress?: string;
    /** All addresses that the process listens on: for a host those for callers, operators and peers. */
    readonly addresses: readonly string[];
}

/** A process that was started, and its plan. */
export interface SystemProcess {
    readonly plan: ProcessPlan;
    readonly child: ChildProcess;
}

/** A system that `startSystem` started. */
export interface RunningSystem {
    readonly settings: SystemSettings;
    /** Directory of the settings files and of one log file per process. Removed by `stop` and `kill`. */
    readonly directory: string;
    /** Processes by name, in the order of their start. */
    readonly processes: Map<string, SystemProcess>;
    /** Fault-injecting TCP proxy, if the system was started with the option `faultProxy`. */
    readonly faultProxy: RunningFaultProxy | undefined;
    /** Current topology. A restarted process has a new process id. */
    readonly topology: Topology;
    /** Number of the last ticket that `applyTicket` applied. */
    lastTicket: number;
    /** Stops the hosts gracefully and then kills the other processes. Resolves to the exit code of each host. */
    readonly stop: () => Promise<HostExit[]>;
    /** Kills all processes at once. */
    readonly kill: () => Promise<void>;
}

/** Exit of a host; the code is `null` if a signal ended the process. */
export interface HostExit {
    readonly name: string;
    readonly code: number | null;
}

/** Returns a process by name. Throws if the name is unknown. */
export function getProcess(system: RunningSystem, name: string): SystemProcess {
    const entry = system.processes.get(name);
    if (entry === undefined) {
        throw new Error(`unknown process ${name}; the processes are ${[...system.processes.keys()].join(", ")}`);
    }
    return entry;
}

/** Lists the processes of a role, in the order of their start. */
export const listProcesses = (system: RunningSystem, role: TopologyProcess["role"]): SystemProcess[] =>
    [...system.processes.values()].filter(entry => entry.plan.role === role);

/** Returns the URL of a process; for a host the URL of its listener for callers. */
export const getUrl = (system: RunningSystem, name: string): string =>
    `http://${getProcess(system, name).plan.address}`;

/** Returns the URL of a host's listener for operators. */
export const getOperatorUrl = (system: RunningSystem, name: string): string =>
    `http://${getProcess(system, name).plan.operatorAddress ?? ""}`;
