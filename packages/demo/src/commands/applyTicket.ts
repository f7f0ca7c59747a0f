import { requestJson } from "@currantrill/http";
import { stringify } from "smol-toml";
import { getOperatorUrl, listProcesses, type RunningSystem } from "../model/runningSystem.js";
import { OPERATOR_KEY, type TomlFields } from "../model/systemOptions.js";

const TICKET_TIMEOUT_MS = 10_000;

/** Status and JSON body of a host's response to an operator. */
export interface TicketResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Sends a ticket to a host and resolves to its response, also if the host refuses the ticket. */
export function sendTicket(system: RunningSystem, host: string, ticket: TomlFields): Promise<TicketResponse> {
    return requestJson(`${getOperatorUrl(system, host)}/admin/tickets`, {
        method: "POST",
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        body: { text: stringify(ticket), source: `ticket-${String(ticket["ticket"])}.toml` },
        timeoutMs: TICKET_TIMEOUT_MS,
    });
}

/** Sends a local stop of an endpoint to the operator interface of a host. The endpoint then gets no new requests. */
export function sendStop(system: RunningSystem, host: string, endpoint: string): Promise<TicketResponse> {
    return requestJson(`${getOperatorUrl(system, host)}/admin/stops`, {
        method: "POST",
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        body: { endpoint, reason: "the owner needs it" },
        timeoutMs: TICKET_TIMEOUT_MS,
    });
}

/** Applies a ticket through the first host. Resolves to the revision that it created. Rejects if the host refuses it. */
export async function applyTicket(system: RunningSystem, ticket: TomlFields): Promise<number> {
    const answer = await sendTicket(system, listProcesses(system, "host")[0]?.plan.name ?? "", ticket);
    if (answer.status !== 200) {
        throw new Error(`ticket ${String(ticket["ticket"])} was refused: ${JSON.stringify(answer.body)}`);
    }
    system.lastTicket = Number(ticket["ticket"]);
    return (answer.body as { revision: number; }).revision;
}
