/** Reads what the engines executed. */
import { hasEnded, listProcesses, readLedger } from "@currantrill/demo";
import type { SystemWorld } from "./systemWorld.js";

export interface PromptStart {
    readonly engine: string;
    readonly requestId: string;
    /** Position in the engine's ledger. */
    readonly seq: number;
}

/** Names of the engines that run. */
export const listEngines = (world: SystemWorld): string[] =>
    listProcesses(world.getSystem(), "engine").filter(({ child }) => !hasEnded(child)).map(({ plan }) => plan.name);

/** Lists each start of a prompt on an engine. */
export async function readStarts(world: SystemWorld): Promise<PromptStart[]> {
    const lists = listEngines(world).map(async engine => {
        const { entries } = await readLedger(world.getSystem(), engine);
        return entries.filter(entry => entry.action === "generate" && entry.outcome === "started")
            .map(({ requestId, seq }) => ({ engine, requestId, seq }));
    });
    return (await Promise.all(lists)).flat();
}

/** Name of the engine that runs a prompt now. */
export async function findRunningEngine(world: SystemWorld): Promise<string | undefined> {
    for (const engine of listEngines(world)) {
        const { entries } = await readLedger(world.getSystem(), engine);
        const prompts = entries.filter(entry => entry.action === "generate");
        const started = prompts.filter(entry => entry.outcome === "started").length;
        if (2 * started > prompts.length) {
            return engine;
        }
    }
    return undefined;
}
