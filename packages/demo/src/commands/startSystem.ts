/** Starts a whole system on loopback: first the stand-ins, then the hosts; then applies the first ticket. */
import type { TopologyProcess } from "@currantrill/protocol";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { listProcesses, type ProcessPlan, type RunningSystem, type SystemProcess } from "../model/runningSystem.js";
import {
    defaultSystemOptions,
    DEMO_WORKSPACES,
    type SystemOptions,
    type SystemSettings,
} from "../model/systemOptions.js";
import { buildFirstTicket } from "../queries/buildFirstTicket.js";
import { planProcesses } from "../queries/planProcesses.js";
import { applyTicket } from "./applyTicket.js";
import { startFaultProxy } from "./startFaultProxy.js";
import { startProcess, stopProcess } from "./startProcess.js";
import { waitForRevision, waitUntilReady } from "./waitUntilReady.js";

/**
 * Starts all processes, applies the first ticket and waits until it is in force on every host. If a step fails, all
 * processes are killed before the promise rejects.
 */
export async function startSystem(options: SystemOptions = {}): Promise<RunningSystem> {
    const settings: SystemSettings = { ...defaultSystemOptions, ...options };
    const directory = mkdtempSync(join(tmpdir(), "currantrill-"));
    const system = await createSystem(settings, directory);
    try {
        const plan = await planProcesses(settings, directory);
        plan.settingsFiles.forEach(file => writeFileSync(file.path, file.text));
        await startProcesses(system, plan.standins);
        await startProcesses(system, plan.hosts);
        await waitForRevision(system, await applyTicket(system, buildFirstTicket(settings, plan.standins)));
        return system;
    }
    catch (error) {
        await system.kill();
        throw error;
    }
}

/** Creates a system without processes, with a fault proxy if the settings enable it. */
async function createSystem(settings: SystemSettings, directory: string): Promise<RunningSystem> {
    const processes = new Map<string, SystemProcess>();
    const findProcessName = (address: string): string | undefined =>
        [...processes.values()].find(({ plan }) => plan.addresses.includes(address))?.plan.name;
    const system: RunningSystem = {
        settings,
        directory,
        processes,
        faultProxy: settings.faultProxy ? await startFaultProxy(findProcessName) : undefined,
        get topology() {
            return {
                processes: [...processes.values()].map(describeProcess),
                workspaces: DEMO_WORKSPACES.map(entry => ({ ...entry })),
            };
        },
        lastTicket: 0,
        stop: async () => {
            const hosts = listProcesses(system, "host");
            await Promise.all(hosts.map(({ child }) => stopProcess(child, "SIGTERM")));
            await system.kill();
            return hosts.map(({ plan, child }) => ({ name: plan.name, code: child.exitCode }));
        },
        kill: async () => {
            await Promise.all([...processes.values()].map(({ child }) => stopProcess(child, "SIGKILL")));
            system.faultProxy?.close();
            rmSync(directory, { recursive: true, force: true });
        },
    };
    return system;
}

function describeProcess({ plan, child }: SystemProcess): TopologyProcess {
    const { name, role, failureDomain, address, operatorAddress } = plan;
    return {
        name,
        role,
        failureDomain,
        pid: child.pid ?? 0,
        address,
        ...(operatorAddress === undefined ? {} : { operatorAddress }),
    };
}

async function startProcesses(system: RunningSystem, plans: readonly ProcessPlan[]): Promise<void> {
    plans.forEach(plan => addProcess(system, plan));
    await Promise.all(plans.map(plan => waitUntilReady(system, plan.name)));
}

/** Starts a process and registers it; it replaces an earlier process with the same name. */
export function addProcess(system: RunningSystem, plan: ProcessPlan): void {
    const child = startProcess({
        name: plan.name,
        program: plan.program,
        args: plan.args,
        logFile: join(system.directory, `${plan.name}.log`),
        proxyAddress: system.faultProxy?.address,
    });
    system.processes.set(plan.name, { plan, child });
}
