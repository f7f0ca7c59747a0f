/**
 * Row `history/<revision>` of the table `config`. Tickets are listed through these rows, by key from the newest revision
 * down, because the table service lists rows from the lowest key and tickets have no numbers without gaps.
 */
import type { Revision, TicketNumber } from "@currantrill/protocol";

export interface HistoryRow {
    readonly ticket: TicketNumber;
    readonly summary: string;
    readonly revision: Revision;
    /** Wall-clock time in milliseconds. */
    readonly appliedAtMs: number;
}

export const formatHistoryKey = (revision: number): string => `history/${revision}`;
