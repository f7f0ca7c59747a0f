import { requestJson } from "@currantrill/http";
import { getOperatorUrl, getProcess, listProcesses, type RunningSystem } from "../model/runningSystem.js";
import { OPERATOR_KEY, type TomlFields } from "../model/systemOptions.js";
import { buildEngineEndpoint } from "./buildFirstTicket.js";

/** Builds the next ticket, which replaces the endpoint of an engine by one with changed fields. */
export async function buildEndpointTicket(
    system: RunningSystem,
    engine: string,
    fields: TomlFields,
): Promise<TomlFields> {
    const { plan } = getProcess(system, engine);
    const endpoint = { ...buildEngineEndpoint(system.settings, plan), ...fields };
    return {
        ticket: system.lastTicket + 1,
        summary: `Change ${engine}`,
        endpoints: [{ ...endpoint, replaces: await readEndpointTicket(system, engine) }],
    };
}

/** Reads from the first host the number of the ticket that last set the endpoint; 0 if none did. */
async function readEndpointTicket(system: RunningSystem, engine: string): Promise<number> {
    const host = listProcesses(system, "host")[0]?.plan.name ?? "";
    const response = await requestJson(`${getOperatorUrl(system, host)}/admin/configuration`, {
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    const { objects } = response.body as { objects: Record<string, { ticket: number; }>; };
    return objects[`endpoint/${engine}`]?.ticket ?? 0;
}
