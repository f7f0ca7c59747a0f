/** Execution ledger of a stand-in: the operations that it executed, and the memory allocations that it holds. */
import type { Ledger, LedgerEntry } from "@currantrill/protocol";

/** Contents of `GET /ledger`. */
export interface LedgerState {
    entries: LedgerEntry[];
    held: Ledger["held"];
}

export const createLedgerState = (): LedgerState => ({ entries: [], held: [] });

/** Appends an entry with the next sequence number, starting at 1. */
export function recordEntry(state: LedgerState, entry: Omit<LedgerEntry, "seq">): void {
    state.entries.push({ seq: state.entries.length + 1, ...entry });
}
