/** Evacuates failure domains and returns them to service. Each change is a numbered ticket. */
import {
    type DomainChangeRequest,
    type DomainState,
    type KnownDomain,
    planDomainChange,
    type RefusedDomainTicket,
} from "@currantrill/core";
import { type DomainsAnswer, type OperatorError, toFailureDomainId, toTicketNumber } from "@currantrill/protocol";
import { formatTicket } from "@currantrill/settings";
import { type ExitCode, exitCodes, type Report } from "../model/report.js";
import {
    type ApplyOptions,
    applyTicketText,
    formatInForce,
    formatWarnings,
    waitUntilInForce,
} from "./runTicketCommands.js";
import { sendToHost } from "./sendToHost.js";

/** Largest number of tickets that are tried because a number was taken. */
const MAX_TRIES = 8;

export interface SetDomainOptions extends ApplyOptions {
    readonly domain: string;
    readonly state: DomainState;
    readonly reason: string | undefined;
    /** Number for the ticket; `undefined` to use the next free one. */
    readonly ticket: number | undefined;
}

/** What became of the request. `refused`: nothing was applied. `unknown`: it may have been, or may be later. */
type Outcome = "accepted" | "refused" | "unknown";

const outcomes: Record<ExitCode, Outcome> = {
    [exitCodes.done]: "accepted",
    [exitCodes.refused]: "refused",
    [exitCodes.invalid]: "refused",
    [exitCodes.unreachable]: "refused",
    [exitCodes.unknown]: "unknown",
};

/** Sets the state of a failure domain by a ticket, unless it has that state. Repeating it is harmless. */
export async function setDomainState(options: SetDomainOptions): Promise<Report> {
    const { domain, state, reason, ticket } = options;
    const request: DomainChangeRequest = {
        domain: toFailureDomainId(domain),
        state,
        reason,
        number: ticket === undefined ? undefined : toTicketNumber(ticket),
    };
    let refused: RefusedDomainTicket | undefined;
    let report: Report | undefined;
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        const read = await sendToHost<DomainsAnswer>(options, { method: "GET", path: "/domains" });
        const known = read.ok ? findKnownDomain(read.answer, domain) : undefined;
        if (!read.ok || known === undefined) {
            return createOutcomeReport(options, read.ok ? createUnreadReport() : read.report);
        }
        const plan = planDomainChange(request, known, refused);
        if (plan.kind === "done") {
            return createOutcomeReport(options, await createUnchangedReport(options, plan.ticket, read.answer));
        }
        if (plan.kind === "conflict") {
            break;
        }
        report = await applyTicketText(options, formatTicket(plan.ticket), `domain ${domain}`);
        if (!isConflict(report)) {
            break;
        }
        refused = { number: plan.ticket.number, replaces: known.ticket };
    }
    return createOutcomeReport(options, report ?? createUnreadReport());
}

/** Returns the newest state of a domain; `undefined` if the host could not read it from the platform. */
function findKnownDomain({ source, nextTicket, domains }: DomainsAnswer, name: string): KnownDomain | undefined {
    if (source !== "platform" || nextTicket === undefined) {
        return undefined;
    }
    const found = domains.find(entry => entry.domain === name);
    return {
        state: found?.state ?? "in_service",
        ticket: toTicketNumber(found?.ticket ?? 0),
        nextTicket: toTicketNumber(nextTicket),
    };
}

const isConflict = ({ data }: Report): boolean =>
    (data as Partial<OperatorError> | undefined)?.error?.code === "conflict";

/** Reports that the domain has the requested state. `ticket` set it; 0 if no ticket has named the domain. */
async function createUnchangedReport(
    options: SetDomainOptions,
    ticket: number,
    { warnings }: DomainsAnswer,
): Promise<Report> {
    const status = ticket > 0 && options.waitSeconds > 0 ? await waitUntilInForce(options, ticket) : undefined;
    const lines = [
        ticket > 0 ? `nothing to change since ticket ${ticket}` : "nothing to change; no ticket has named the domain",
        ...(status === undefined ? [] : [formatInForce(status)]),
        ...formatWarnings(warnings),
    ];
    const data = { ticket, alreadyApplied: true, warnings, ...(status === undefined ? {} : { status }) };
    return { exitCode: exitCodes.done, data, text: lines.join("\n") };
}

const createUnreadReport = (): Report => ({
    exitCode: exitCodes.unreachable,
    data: { error: { code: "platform_unavailable" } },
    text: "The platform does not respond, and nothing was applied; repeat the command later.",
});

function createOutcomeReport({ domain, state }: SetDomainOptions, report: Report): Report {
    const outcome = outcomes[report.exitCode];
    const advice = outcome === "unknown" ? "\nRepeat the command to find out; that is harmless." : "";
    return {
        exitCode: report.exitCode,
        data: { outcome, domain, state, ...(report.data as object | undefined) },
        text: `${outcome}: ${domain} ${state === "evacuated" ? "evacuated" : "in service"}\n${report.text}${advice}`,
    };
}
