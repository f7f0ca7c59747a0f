/** A running system that consecutive scenarios with the same options share. */
import {
    restartProcess,
    type RunningSystem,
    setFault,
    setFrozen,
    setLinkModes,
    setOwnerLending,
    startSystem,
    type SystemOptions,
} from "@currantrill/demo";

/** The shared system, and the options that it was started with, as JSON. */
interface SharedSystem {
    readonly system: RunningSystem;
    readonly options: string;
}

let shared: SharedSystem | undefined;

/** Returns the shared system if it was started with the same options. Otherwise kills it and starts another one. */
export async function useSystem(options: SystemOptions): Promise<RunningSystem> {
    const key = JSON.stringify(options);
    if (shared?.options !== key) {
        await endSharedSystem();
        shared = { system: await startSystem(options), options: key };
    }
    return shared.system;
}

/** Kills the shared system. Called after the last scenario, and after one whose changes `resetSystem` cannot undo. */
export async function endSharedSystem(): Promise<void> {
    const endingSystem = shared;
    shared = undefined;
    await endingSystem?.system.kill();
}

/** Resumes and restarts processes, and resets the link modes, the stand-in faults and the lending of the engines. */
export async function resetSystem(system: RunningSystem): Promise<void> {
    const names = [...system.processes.keys()];
    names.forEach(name => setFrozen(system, name, false));
    if (system.faultProxy !== undefined) {
        setLinkModes(system, names, names, "forward");
    }
    const entries = [...system.processes.values()];
    const ended = entries.filter(({ child }) => child.exitCode !== null || child.signalCode !== null);
    await Promise.all(ended.map(({ plan }) => restartProcess(system, plan.name)));
    const standins = entries.filter(({ plan }) => plan.role !== "host").map(({ plan }) => plan);
    await Promise.all(standins.map(plan => setFault(system, plan.name, { kind: "outage", durationMs: 0 })));
    const engines = standins.filter(plan => plan.role === "engine");
    await Promise.all(engines.map(plan => setOwnerLending(system, plan.name, "lent")));
}
