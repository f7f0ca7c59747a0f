import { requestJson } from "@currantrill/http";
import { getOperatorUrl, getProcess, listProcesses, type RunningSystem } from "../model/runningSystem.js";
import { type Fields, OPERATOR_KEY } from "../model/systemOptions.js";
import { buildEngineEndpoint } from "./buildFirstTicket.js";

/** Builds the next ticket, which sets an engine's endpoint again with other fields. */
export async function buildEndpointTicket(system: RunningSystem, engine: string, fields: Fields): Promise<Fields> {
    const { plan } = getProcess(system, engine);
    const endpoint = { ...buildEngineEndpoint(system.settings, plan), ...fields };
    return {
        ticket: system.lastTicket + 1,
        summary: `Change ${engine}`,
        endpoints: [{ ...endpoint, replaces: await readEndpointTicket(system, engine) }],
    };
}

/** Number of the ticket that last set the endpoint, according to the first host. */
async function readEndpointTicket(system: RunningSystem, engine: string): Promise<number> {
    const host = listProcesses(system, "host")[0]?.plan.name ?? "";
    const response = await requestJson(`${getOperatorUrl(system, host)}/admin/configuration`, {
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    const { objects } = response.body as { objects: Record<string, { ticket: number; }>; };
    return objects[`endpoint/${engine}`]?.ticket ?? 0;
}
