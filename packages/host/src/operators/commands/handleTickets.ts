/** Handlers of the ticket routes. Each resolves to the response body, or rejects with `OperatorFailure`. */
import { type Finding, formatTicketKey, planTicket, type Ticket, type TicketRow } from "@currantrill/core";
import type { HttpRequest } from "@currantrill/http";
import {
    type ApplyAnswer,
    type PlanAnswer,
    ticketBodySchema,
    type TicketHistory,
    type TicketStatus,
    toTicketNumber,
} from "@currantrill/protocol";
import { parseTicket } from "@currantrill/settings";
import { readConfigurationRow } from "../../configuration/commands/pollConfiguration.js";
import type { HostContext } from "../../model/hostContext.js";
import { formatHistoryKey, type HistoryRow } from "../model/historyRow.js";
import { OperatorFailure } from "../model/operatorFailure.js";
import { describeChanges } from "../queries/describeChanges.js";
import { listHostStatuses } from "../queries/listHostStatuses.js";
import { applyTicket, readPlatformConfiguration } from "./applyTicket.js";

/** Number of tickets that the history lists by default. */
const DEFAULT_HISTORY = 20;
/** Largest number of tickets in one history response; each ticket takes one read of the platform. */
const MAX_HISTORY = 200;

/** Plans a ticket against the platform's newest configuration without applying it. */
export async function handlePlan(context: HostContext, request: HttpRequest): Promise<PlanAnswer> {
    const ticket = readTicket(request);
    const platform = await readPlatformConfiguration(context, ticket).catch(failUnavailable);
    const plan = planTicket(platform.configuration, ticket, platform.ticketRow);
    if (!plan.ok) {
        throw new OperatorFailure(plan.code, plan.findings);
    }
    return {
        ticket: ticket.number,
        base: platform.configuration.revision,
        appliedAs: plan.appliedAs,
        changes: describeChanges(platform.configuration, plan.next, plan.changes),
        warnings: plan.warnings,
    };
}

/** Applies a ticket. The outcome is logged. */
export async function handleApply(context: HostContext, request: HttpRequest): Promise<ApplyAnswer> {
    const ticket = readTicket(request);
    const result = await applyTicket(context, ticket);
    context.log.info({ ticket: ticket.number, result }, "operators: ticket handled");
    switch (result.outcome) {
        case "applied":
            return {
                ticket: ticket.number,
                revision: result.revision,
                alreadyApplied: result.alreadyApplied,
                changes: result.changes,
                warnings: result.warnings,
            };
        case "refused":
            throw new OperatorFailure(result.code, result.findings);
        case "outcome_unknown":
            throw new OperatorFailure("outcome_unknown");
    }
}

/** Returns a ticket, and for each host whether the revision of the ticket or a newer one is active. */
export async function handleStatus(context: HostContext, request: HttpRequest): Promise<TicketStatus> {
    const number = Number(request.params["number"]);
    if (!Number.isInteger(number) || number < 1) {
        throw createFinding("number", String(request.params["number"]), "the number of a ticket");
    }
    const row = await readConfigurationRow(context, formatTicketKey(toTicketNumber(number))).catch(failUnavailable);
    if (row === undefined) {
        throw new OperatorFailure("not_found", [], `Ticket ${number} has not been applied.`);
    }
    const { ticket, revision, appliedAtMs } = row.value as unknown as TicketRow;
    const hosts = listHostStatuses(context).map(host => ({ ...host, inForce: (host.revision ?? 0) >= revision }));
    return {
        ticket: ticket.number,
        summary: ticket.summary,
        revision,
        appliedAt: new Date(appliedAtMs).toISOString(),
        inForceEverywhere: hosts.filter(host => host.state === "live").every(host => host.inForce),
        hosts,
    };
}

/** Lists the newest tickets. The query parameter `limit` sets their number. */
export async function handleHistory(context: HostContext, request: HttpRequest): Promise<TicketHistory> {
    const limit = Number(new URLSearchParams(request.search).get("limit") ?? DEFAULT_HISTORY);
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_HISTORY) {
        throw createFinding("limit", String(limit), `a whole number from 1 to ${MAX_HISTORY}`);
    }
    const newest = context.configuration.current.revision;
    const revisions = Array.from({ length: Math.min(limit, newest) }, (_unused, index) => newest - index);
    const rows = await Promise.all(revisions.map(revision => readConfigurationRow(context, formatHistoryKey(revision))))
        .catch(failUnavailable);
    const tickets = rows
        .flatMap(row => row === undefined ? [] : [row.value as unknown as HistoryRow])
        .map(({ appliedAtMs, ...row }) => ({ ...row, appliedAt: new Date(appliedAtMs).toISOString() }));
    return { tickets };
}

function readTicket(request: HttpRequest): Ticket {
    const body = ticketBodySchema.safeParse(request.body);
    if (!body.success) {
        throw createFinding("text", "no ticket", "the text of a ticket in TOML");
    }
    const parsed = parseTicket(body.data.text, body.data.source);
    if (!parsed.ok) {
        throw new OperatorFailure("invalid", parsed.findings);
    }
    return parsed.value;
}

/** Creates the failure for one invalid field of the request. */
function createFinding(path: string, found: string, expected: string): OperatorFailure {
    const finding: Finding = { source: "request", path, found, expected };
    return new OperatorFailure("invalid", [finding]);
}

function failUnavailable(): never {
    throw new OperatorFailure("platform_unavailable");
}
