/** Reads the state of a running system through its HTTP interfaces. */
import { requestJson } from "@currantrill/http";
import { type Ledger, ledgerSchema } from "@currantrill/protocol";
import { hasExited } from "../commands/startProcess.js";
import { getOperatorUrl, getUrl, listProcesses, type RunningSystem } from "../model/runningSystem.js";

/** Reads the execution ledger of a stand-in. */
export async function readLedger(system: RunningSystem, name: string): Promise<Ledger> {
    const response = await requestJson(`${getUrl(system, name)}/ledger`);
    return ledgerSchema.parse(response.body);
}

/** Sums the tokens that all running engines hold in allocations. */
export async function sumAllocatedTokens(system: RunningSystem): Promise<number> {
    const engines = listProcesses(system, "engine").filter(({ child }) => !hasExited(child));
    const ledgers = await Promise.all(engines.map(({ plan }) => readLedger(system, plan.name)));
    return ledgers.flatMap(ledger => ledger.held).reduce((sum, held) => sum + held.tokens, 0);
}

/** Lists the configuration revision in force on each running host; `undefined` for an unresponsive host. */
export async function listRevisions(system: RunningSystem): Promise<Map<string, number | undefined>> {
    const hosts = listProcesses(system, "host").filter(({ child }) => !hasExited(child));
    const revisions = hosts.map(async ({ plan }): Promise<[string, number | undefined]> => {
        const response = await requestJson(`${getOperatorUrl(system, plan.name)}/readyz`).catch(() => undefined);
        return [plan.name, (response?.body as { revision?: number; } | undefined)?.revision];
    });
    return new Map(await Promise.all(revisions));
}
