import { type TicketNumber, toTicketNumber } from "@currantrill/protocol";
import type { DomainState } from "../../model/configuration.js";
import type { DomainChangePlan, DomainChangeRequest, KnownDomain, RefusedDomainTicket } from "../model/domainChange.js";

const summaries: Record<DomainState, string> = {
    evacuated: "Evacuate failure domain",
    in_service: "Return failure domain",
};

/**
 * Plans the ticket for a change of a failure domain on its newest state. `refused` is the ticket of the last try, if it
 * was refused with a conflict. The ticket replaces the state that was read, so that one that arrives late, after
 * another ticket has set the domain, has no effect.
 */
export function planDomainChange(
    request: DomainChangeRequest,
    known: KnownDomain,
    refused?: RefusedDomainTicket,
): DomainChangePlan {
    if (known.state === request.state) {
        return { kind: "done", ticket: known.ticket };
    }
    if (refused !== undefined && (refused.replaces !== known.ticket || request.number !== undefined)) {
        return { kind: "conflict" };
    }
    const reason = request.reason === undefined ? "" : `: ${request.reason}`;
    const ticket = {
        number: request.number ?? chooseNumber(known, refused),
        summary: `${summaries[request.state]} ${request.domain}${reason}`,
        objects: [{
            replaces: known.ticket,
            body: { kind: "domain" as const, name: request.domain, state: request.state },
        }],
        removals: [],
    };
    return { kind: "apply", ticket };
}

/** Chooses a higher number than the one that was taken, also if the platform still suggests that one. */
const chooseNumber = ({ nextTicket }: KnownDomain, refused: RefusedDomainTicket | undefined): TicketNumber =>
    toTicketNumber(Math.max(nextTicket, (refused?.number ?? 0) + 1));
