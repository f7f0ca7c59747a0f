/** Queries on the execution ledgers of the engine stand-ins. */
import { hasExited, listProcesses, readLedger } from "@currantrill/demo";
import type { SystemWorld } from "./systemWorld.js";

/** Start of a prompt on an engine. */
export interface PromptStart {
    readonly engine: string;
    readonly requestId: string;
    /** Sequence number in the engine's ledger. */
    readonly seq: number;
}

/** Lists the names of the engines whose process is running. */
export const listEngines = (world: SystemWorld): string[] =>
    listProcesses(world.getSystem(), "engine").filter(({ child }) => !hasExited(child)).map(({ plan }) => plan.name);

/** Reads all starts of prompts from the ledgers of the running engines. */
export async function readPromptStarts(world: SystemWorld): Promise<PromptStart[]> {
    const startsByEngine = listEngines(world).map(async engine => {
        const { entries } = await readLedger(world.getSystem(), engine);
        return entries.filter(entry => entry.action === "generate" && entry.outcome === "started")
            .map(({ requestId, seq }) => ({ engine, requestId, seq }));
    });
    return (await Promise.all(startsByEngine)).flat();
}

/** Finds an engine that is running a prompt: one whose ledger has more starts than ends. Returns its name. */
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
