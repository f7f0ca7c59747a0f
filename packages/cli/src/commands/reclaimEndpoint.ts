import type { Configuration, EndpointObject, ObjectKey } from "@currantrill/core";
import type { StopAnswer } from "@currantrill/protocol";
import { formatTicket } from "@currantrill/settings";
import { exitCodes, type Report } from "../model/report.js";
import { applyTicketText } from "./runTicketCommands.js";
import { type HostOptions, sendToHost } from "./sendToHost.js";

export interface ReclaimOptions extends HostOptions {
    readonly endpoint: string;
    readonly reason: string;
    /** Number of the ticket that makes the reclaim permanent; `undefined` to stop the endpoint without a ticket. */
    readonly ticket: number | undefined;
}

/**
 * Reclaims an endpoint for its owner. First stops new work on it on every reachable host, which works without the
 * platform; then applies the ticket that makes the reclaim permanent.
 */
export async function reclaimEndpoint(options: ReclaimOptions): Promise<Report> {
    const { endpoint, reason, ticket } = options;
    const stop = await sendToHost<StopAnswer>(options, { method: "POST", path: "/stops", body: { endpoint, reason } });
    if (!stop.ok) {
        return stop.report;
    }
    const text = `${endpoint} stopped; the stop is on its way to ${stop.answer.hosts} live hosts`;
    if (ticket === undefined) {
        const advice = "Hosts that restart learn of the stop from their peers only; record it with --ticket NUMBER.";
        return { exitCode: exitCodes.done, data: { stop: stop.answer }, text: `${text}\n${advice}` };
    }
    const applied = await applyReclaim(options, ticket);
    return {
        exitCode: applied.exitCode,
        data: { stop: stop.answer, ticket: applied.data },
        text: `${text}\n${applied.text}`,
    };
}

async function applyReclaim(options: ReclaimOptions, ticket: number): Promise<Report> {
    const configuration = await sendToHost<Configuration>(options, { method: "GET", path: "/configuration" });
    if (!configuration.ok) {
        return configuration.report;
    }
    const key: ObjectKey = `endpoint/${options.endpoint}`;
    const stored = configuration.answer.objects[key];
    if (stored === undefined) {
        return { exitCode: exitCodes.refused, data: undefined, text: `${options.endpoint} is no longer configured` };
    }
    const body: EndpointObject = { ...(stored.body as EndpointObject), lending: "reclaimed" };
    const text = formatTicket({
        number: ticket as typeof stored.ticket,
        summary: `Reclaim ${options.endpoint}: ${options.reason}`,
        objects: [{ replaces: stored.ticket, body }],
        removals: [],
    });
    return applyTicketText({ ...options, waitSeconds: 0 }, text, "reclaim");
}
