/** Change of the state of a failure domain that an operator requests, and the plan for it. */
import type { FailureDomainId, TicketNumber } from "@currantrill/protocol";
import type { DomainState, Ticket } from "../../model/configuration.js";

export interface DomainChangeRequest {
    readonly domain: FailureDomainId;
    readonly state: DomainState;
    /** Kept in the summary of the ticket. */
    readonly reason: string | undefined;
    /** Number for the ticket; `undefined` to use the next free one. */
    readonly number: TicketNumber | undefined;
}

/** Newest state of a failure domain, as read from the platform. */
export interface KnownDomain {
    readonly state: DomainState;
    /** Ticket that last set the state; 0 if none did. */
    readonly ticket: TicketNumber;
    /** Ticket number that is believed to be free. */
    readonly nextTicket: TicketNumber;
}

/** Ticket of an earlier try that was refused with a conflict. */
export interface RefusedDomainTicket {
    readonly number: TicketNumber;
    readonly replaces: TicketNumber;
}

export type DomainChangePlan =
    /** Apply the ticket. */
    | { readonly kind: "apply"; readonly ticket: Ticket; }
    /** The domain has the requested state; `ticket` last set it, 0 if none did. */
    | { readonly kind: "done"; readonly ticket: TicketNumber; }
    /** The conflict stands: another ticket has set the domain, or the number that the operator gave is taken. */
    | { readonly kind: "conflict"; };
