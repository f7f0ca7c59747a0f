/** Injects faults into a running system: kills, freezes and restarts processes, partitions links, sets stand-in faults. */
import { requestJson } from "@currantrill/http";
import type { FaultRequest } from "@currantrill/protocol";
import { getProcess, getUrl, type RunningSystem } from "../model/runningSystem.js";
import type { LinkMode } from "./startFaultProxy.js";
import { stopProcess } from "./startProcess.js";
import { addProcess } from "./startSystem.js";
import { waitUntilReady } from "./waitUntilReady.js";

/** Kills a process with SIGKILL and waits for its exit. */
export const killProcess = (system: RunningSystem, name: string): Promise<void> =>
    stopProcess(getProcess(system, name).child, "SIGKILL");

/** Pauses a process with SIGSTOP, or resumes it with SIGCONT. */
export function setFrozen(system: RunningSystem, name: string, frozen: boolean): void {
    getProcess(system, name).child.kill(frozen ? "SIGSTOP" : "SIGCONT");
}

/** Kills a process if it is running, and starts it again at the same address. A host gets a new incarnation. */
export async function restartProcess(system: RunningSystem, name: string): Promise<void> {
    await killProcess(system, name);
    addProcess(system, getProcess(system, name).plan);
    await waitUntilReady(system, name);
}

/**
 * Sets the mode of the links between two groups of processes, in both directions. Throws if the system was started
 * without the option `faultProxy`.
 */
export function setLinkModes(
    system: RunningSystem,
    names: readonly string[],
    otherNames: readonly string[],
    mode: LinkMode,
): void {
    if (system.faultProxy === undefined) {
        throw new Error("link modes need the fault proxy: start the system with the option `faultProxy`");
    }
    for (const name of names) {
        for (const other of otherNames) {
            system.faultProxy.setLink({ from: name, to: other }, mode);
            system.faultProxy.setLink({ from: other, to: name }, mode);
        }
    }
}

/**
 * Sets the mode of all links between a failure domain and the rest of the system, for example to isolate the domain.
 * Requests of callers and operators do not use these links and still reach it.
 */
export function setDomainLinkModes(system: RunningSystem, failureDomain: string, mode: LinkMode): void {
    const plans = [...system.processes.values()].map(({ plan }) => plan);
    const inside = plans.filter(plan => plan.failureDomain === failureDomain).map(plan => plan.name);
    const outside = plans.filter(plan => plan.failureDomain !== failureDomain).map(plan => plan.name);
    setLinkModes(system, inside, outside, mode);
}

/** Starts a fault of a stand-in. Rejects if the stand-in refuses it. */
export async function setFault(system: RunningSystem, name: string, fault: FaultRequest): Promise<void> {
    const response = await requestJson(`${getUrl(system, name)}/faults`, { method: "POST", body: fault });
    if (response.status !== 200) {
        throw new Error(`${name} refused the fault: ${JSON.stringify(response.body)}`);
    }
}

/** Sets on an engine whether its owner lends it or has withdrawn it. */
export async function setOwnerLending(
    system: RunningSystem,
    name: string,
    lending: "lent" | "withdrawn",
): Promise<void> {
    await requestJson(`${getUrl(system, name)}/owner/lending`, { method: "PUT", body: { lending } });
}
