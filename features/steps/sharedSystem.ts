/** One running system that consecutive scenarios with the same options share. */
import {
    restartProcess,
    type RunningSystem,
    setFault,
    setFrozen,
    setLinks,
    setOwnerLending,
    startSystem,
    type SystemOptions,
} from "@currantrill/demo";

interface SharedSystem {
    readonly system: RunningSystem;
    readonly options: string;
}

let shared: SharedSystem | undefined;

/** Returns the shared system in its undisturbed state, or starts another one if the options differ. */
export async function useSystem(options: SystemOptions): Promise<RunningSystem> {
    const key = JSON.stringify(options);
    if (shared?.options !== key) {
        await endSharedSystem();
        shared = { system: await startSystem(options), options: key };
    }
    return shared.system;
}

/** Ends the shared system. A scenario that leaves it in an unknown state calls this. */
export async function endSharedSystem(): Promise<void> {
    const ending = shared;
    shared = undefined;
    await ending?.system.kill();
}

/** Undoes what a scenario did to processes, links and stand-ins. */
export async function resetSystem(system: RunningSystem): Promise<void> {
    const names = [...system.processes.keys()];
    names.forEach(name => setFrozen(system, name, false));
    if (system.relay !== undefined) {
        setLinks(system, names, names, "forward");
    }
    const entries = [...system.processes.values()];
    const ended = entries.filter(({ child }) => child.exitCode !== null || child.signalCode !== null);
    await Promise.all(ended.map(({ plan }) => restartProcess(system, plan.name)));
    const standins = entries.filter(({ plan }) => plan.role !== "host").map(({ plan }) => plan);
    await Promise.all(standins.map(plan => setFault(system, plan.name, { kind: "outage", durationMs: 0 })));
    const engines = standins.filter(plan => plan.role === "engine");
    await Promise.all(engines.map(plan => setOwnerLending(system, plan.name, "lent")));
}
