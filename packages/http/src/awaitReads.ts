/**
 * Resolves when the event loop has read from all connections that are readable now. Timers run before reads, so after a delay
 * of the process they see a connection as idle on which a request waits.
 */
export const awaitReads = (): Promise<void> =>
    // The first call may come between the reads of one turn, which a second turn completes.
    new Promise(resolve => void setImmediate(() => setImmediate(resolve)));
