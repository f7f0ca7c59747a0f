import type Logger from "bunyan";
import type { TableSource } from "../../ports/tableSource.js";

/** Mean delay before the write is retried. */
const RETRY_MS = 1_000;

/**
 * Writes this host's address to the host table, from which other hosts learn it, and retries until that succeeds.
 * Returns a function that cancels the retries.
 */
export function publishHost(source: TableSource, table: string, address: string, log: Logger): () => void {
    let timer: NodeJS.Timeout | undefined;
    const publish = (): void => {
        source.putRow(table, address, Buffer.from("{}")).catch((error: unknown) => {
            log.warn({ err: error }, "peers: could not publish the address of this host, retrying");
            timer = setTimeout(publish, RETRY_MS * (0.5 + Math.random()));
        });
    };
    publish();
    return () => clearTimeout(timer);
}
