/**
 * Rows `history/<revision>` of the table `config`, one for each applied ticket. The newest tickets are read by key,
 * from the newest revision down, because the table service lists rows from the lowest key and ticket numbers have gaps.
 */
import type { Revision, TicketNumber } from "@currantrill/protocol";

/** Value of a history row. */
export interface HistoryRow {
    readonly ticket: TicketNumber;
    readonly summary: string;
    readonly revision: Revision;
    /** Wall-clock time in milliseconds. */
    readonly appliedAtMs: number;
}

export const formatHistoryKey = (revision: number): string => `history/${revision}`;
