/** Records what a stand-in executed and what memory it holds. */
import type { Ledger, LedgerEntry } from "@currantrill/protocol";

export interface LedgerState {
    entries: LedgerEntry[];
    held: Ledger["held"];
}

export const createLedgerState = (): LedgerState => ({ entries: [], held: [] });

/** Appends an entry and numbers it. */
export function recordEntry(state: LedgerState, entry: Omit<LedgerEntry, "seq">): void {
    state.entries.push({ seq: state.entries.length + 1, ...entry });
}
