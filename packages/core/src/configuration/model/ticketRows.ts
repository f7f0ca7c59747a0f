/** Rows of the platform table `config`, in which tickets are recorded. */
import type { AttemptId, Revision, TicketNumber } from "@currantrill/protocol";
import type { Configuration, Ticket } from "../../model/configuration.js";

export const CONFIGURATION_TABLE = "config";
/** Row with the newest revision. Hosts poll it, so it holds nothing else. */
export const HEAD_ROW_KEY = "head";

export interface HeadRow {
    readonly revision: Revision;
}

/** Row `ticket/<number>`: the ticket as it was applied. */
export interface TicketRow {
    readonly ticket: Ticket;
    /** Revision that the ticket created. */
    readonly revision: Revision;
    /** Attempt that wrote the row. */
    readonly attempt: AttemptId;
    /** Wall-clock time in milliseconds. */
    readonly appliedAtMs: number;
}

export const formatRevisionKey = (revision: Revision): string => `revision/${revision}`;
export const formatTicketKey = (number: TicketNumber): string => `ticket/${number}`;

/** State of the platform that a host needs to plan a ticket. */
export interface PlatformConfiguration {
    /** Version of the row `head`; 0 if it is absent. */
    readonly headVersion: number;
    readonly configuration: Configuration;
    /** Row stored under the ticket's number, if any. */
    readonly ticketRow: TicketRow | undefined;
}
