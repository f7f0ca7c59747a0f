/** Commands that apply tickets through a host or query their state. */
import { type Finding, formatFinding } from "@currantrill/core";
import type { ApplyAnswer, PlanAnswer, TicketHistory, TicketStatus } from "@currantrill/protocol";
import { exitCodes, type Report } from "../model/report.js";
import { formatTable } from "../queries/formatTable.js";
import { createMissingFileReport, readText } from "./checkFiles.js";
import { type HostOptions, sendToHost } from "./sendToHost.js";

const STATUS_POLL_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;

const createReport = (data: unknown, text: string): Report => ({ exitCode: exitCodes.done, data, text });

/** Shows what a ticket would change, without applying it. */
export async function planTicketFile(options: HostOptions, file: string): Promise<Report> {
    const text = readText(file);
    if (text === undefined) {
        return createMissingFileReport(file);
    }
    const result = await sendToHost<PlanAnswer>(options, {
        method: "POST",
        path: "/tickets/plan",
        body: { text, source: file },
    });
    return result.ok ? createReport(result.answer, formatPlan(result.answer)) : result.report;
}

function formatPlan({ ticket, base, appliedAs, changes, warnings }: PlanAnswer): string {
    if (appliedAs !== undefined) {
        return `ticket ${ticket} has been applied as revision ${appliedAs}; applying it again changes nothing`;
    }
    const rows = changes.flatMap(({ key, action, fields }) =>
        fields.map(({ field, before, after }) => [action, key, field, before, after])
    );
    return [
        `ticket ${ticket} on revision ${base}: ${changes.length} objects change`,
        formatTable(["ACTION", "OBJECT", "FIELD", "IN FORCE", "AFTER"], rows),
        ...formatWarnings(warnings),
    ].join("\n");
}

/** Formats findings that refuse nothing. Hosts of earlier builds send none. */
export const formatWarnings = (warnings: readonly Finding[] = []): string[] =>
    warnings.map(finding => `warning: ${formatFinding(finding)}`);

export interface ApplyOptions extends HostOptions {
    /** Maximum time to wait until the ticket is active on all live hosts; 0 does not wait. */
    readonly waitSeconds: number;
}

/** Applies a ticket from a file, and waits until it is active on all live hosts. */
export async function applyTicketFile(options: ApplyOptions, file: string): Promise<Report> {
    const text = readText(file);
    return text === undefined ? createMissingFileReport(file) : applyTicketText(options, text, file);
}

/** Applies a ticket given as TOML text. `source` is the file name used in findings. */
export async function applyTicketText(options: ApplyOptions, text: string, source: string): Promise<Report> {
    const result = await sendToHost<ApplyAnswer>(options, { method: "POST", path: "/tickets", body: { text, source } });
    if (!result.ok) {
        return result.report;
    }
    const { ticket, revision, alreadyApplied, warnings } = result.answer;
    const status = options.waitSeconds > 0 ? await waitUntilInForce(options, ticket) : undefined;
    const lines = [
        `ticket ${ticket} ${alreadyApplied ? "was already applied" : "applied"} as revision ${revision}`,
        ...(status === undefined ? [] : [formatInForce(status)]),
        ...formatWarnings(warnings),
    ];
    return createReport({ ...result.answer, ...(status === undefined ? {} : { status }) }, lines.join("\n"));
}

/** Waits until a ticket is active on all live hosts. Resolves with its last status; `undefined` if none was received. */
export async function waitUntilInForce(options: ApplyOptions, ticket: number): Promise<TicketStatus | undefined> {
    const deadlineMs = performance.now() + options.waitSeconds * MS_PER_SECOND;
    let status: TicketStatus | undefined;
    do {
        const result = await sendToHost<TicketStatus>(options, { method: "GET", path: `/tickets/${ticket}` });
        status = result.ok ? result.answer : status;
        if (status?.inForceEverywhere === true) {
            return status;
        }
        await new Promise(resolve => setTimeout(resolve, STATUS_POLL_INTERVAL_MS));
    }
    while (performance.now() < deadlineMs);
    return status;
}

export function formatInForce({ hosts }: TicketStatus): string {
    const live = hosts.filter(host => host.state === "live");
    return `in force on ${live.filter(host => host.inForce).length} of ${live.length} live hosts`;
}

/** Shows on which hosts a ticket is active. */
export async function describeTicketStatus(options: HostOptions, ticket: number): Promise<Report> {
    const result = await sendToHost<TicketStatus>(options, { method: "GET", path: `/tickets/${ticket}` });
    if (!result.ok) {
        return result.report;
    }
    const { summary, revision, appliedAt, hosts } = result.answer;
    const rows = hosts.map(host => [
        host.host,
        host.failureDomain,
        host.state,
        host.revision,
        host.inForce ? "yes" : "no",
    ]);
    const text = [
        `ticket ${ticket} "${summary}" applied at ${appliedAt} as revision ${revision}, ${
            formatInForce(result.answer)
        }`,
        formatTable(["HOST", "DOMAIN", "STATE", "REVISION", "IN FORCE"], rows),
    ];
    return createReport(result.answer, text.join("\n"));
}

/** Lists the newest tickets, at most `limit`. */
export async function listTickets(options: HostOptions, limit: number): Promise<Report> {
    const result = await sendToHost<TicketHistory>(options, { method: "GET", path: `/tickets?limit=${limit}` });
    if (!result.ok) {
        return result.report;
    }
    const rows = result.answer.tickets.map(entry => [entry.ticket, entry.revision, entry.appliedAt, entry.summary]);
    return createReport(result.answer, formatTable(["TICKET", "REVISION", "APPLIED AT", "SUMMARY"], rows));
}
