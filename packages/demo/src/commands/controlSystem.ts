/** Disturbs a running system: kills, freezes and restarts processes, cuts links and sets faults. */
import { requestJson } from "@currantrill/http";
import type { FaultRequest } from "@currantrill/protocol";
import { getProcess, getUrl, type RunningSystem } from "../model/runningSystem.js";
import { stopProcess } from "./startProcess.js";
import type { LinkMode } from "./startRelay.js";
import { addProcess } from "./startSystem.js";
import { waitReady } from "./waitReady.js";

/** Kills a process without notice. */
export const killProcess = (system: RunningSystem, name: string): Promise<void> =>
    stopProcess(getProcess(system, name).child, "SIGKILL");

/** Stops all work of a process, or lets it go on. */
export function setFrozen(system: RunningSystem, name: string, frozen: boolean): void {
    getProcess(system, name).child.kill(frozen ? "SIGSTOP" : "SIGCONT");
}

/** Starts a process again at the same address, after killing it if it still runs. A host gets a new incarnation. */
export async function restartProcess(system: RunningSystem, name: string): Promise<void> {
    await killProcess(system, name);
    addProcess(system, getProcess(system, name).plan);
    await waitReady(system, name);
}

/** Sets the mode of the links between two groups of processes, in both directions. Needs the option `relay`. */
export function setLinks(
    system: RunningSystem,
    group: readonly string[],
    others: readonly string[],
    mode: LinkMode,
): void {
    if (system.relay === undefined) {
        throw new Error("start the system with the option `relay` to cut links");
    }
    for (const name of group) {
        for (const other of others) {
            system.relay.setLink({ from: name, to: other }, mode);
            system.relay.setLink({ from: other, to: name }, mode);
        }
    }
}

/** Cuts a failure domain off from everything else, or joins it again. Callers and operators still reach it. */
export function setDomainLinks(system: RunningSystem, failureDomain: string, mode: LinkMode): void {
    const plans = [...system.processes.values()].map(({ plan }) => plan);
    const inside = plans.filter(plan => plan.failureDomain === failureDomain).map(plan => plan.name);
    const outside = plans.filter(plan => plan.failureDomain !== failureDomain).map(plan => plan.name);
    setLinks(system, inside, outside, mode);
}

/** Starts a fault of a stand-in. */
export async function setFault(system: RunningSystem, name: string, fault: FaultRequest): Promise<void> {
    const response = await requestJson(`${getUrl(system, name)}/faults`, { method: "POST", body: fault });
    if (response.status !== 200) {
        throw new Error(`${name} refused the fault: ${JSON.stringify(response.body)}`);
    }
}

/** Sets the owner's wish on an engine. */
export async function setOwnerLending(
    system: RunningSystem,
    name: string,
    lending: "lent" | "withdrawn",
): Promise<void> {
    await requestJson(`${getUrl(system, name)}/owner/lending`, { method: "PUT", body: { lending } });
}
