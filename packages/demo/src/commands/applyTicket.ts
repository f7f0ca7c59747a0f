import { requestJson } from "@currantrill/http";
import { stringify } from "smol-toml";
import { getOperatorUrl, listProcesses, type RunningSystem } from "../model/runningSystem.js";
import { type Fields, OPERATOR_KEY } from "../model/systemOptions.js";

const TICKET_TIMEOUT_MS = 10_000;

export interface TicketAnswer {
    readonly status: number;
    readonly body: unknown;
}

/** Sends a ticket to a host, and returns whatever it answers. */
export function sendTicket(system: RunningSystem, host: string, ticket: Fields): Promise<TicketAnswer> {
    return requestJson(`${getOperatorUrl(system, host)}/admin/tickets`, {
        method: "POST",
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        body: { text: stringify(ticket), source: `ticket-${String(ticket["ticket"])}.toml` },
        timeoutMs: TICKET_TIMEOUT_MS,
    });
}

/** Stops the use of an endpoint through a host's operator interface. */
export function sendStop(system: RunningSystem, host: string, endpoint: string): Promise<TicketAnswer> {
    return requestJson(`${getOperatorUrl(system, host)}/admin/stops`, {
        method: "POST",
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        body: { endpoint, reason: "the owner needs it" },
        timeoutMs: TICKET_TIMEOUT_MS,
    });
}

/** Applies a ticket through the first host. Returns its revision. Rejects if the ticket is refused. */
export async function applyTicket(system: RunningSystem, ticket: Fields): Promise<number> {
    const answer = await sendTicket(system, listProcesses(system, "host")[0]?.plan.name ?? "", ticket);
    if (answer.status !== 200) {
        throw new Error(`ticket ${String(ticket["ticket"])} was refused: ${JSON.stringify(answer.body)}`);
    }
    system.lastTicket = Number(ticket["ticket"]);
    return (answer.body as { revision: number; }).revision;
}
