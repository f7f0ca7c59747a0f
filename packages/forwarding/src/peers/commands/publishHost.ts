import type Logger from "bunyan";
import type { TableSource } from "../../ports/tableSource.js";

const RETRY_MS = 1_000;

/** Writes this host's address into the store, again until it succeeds. Returns a function that stops it. */
export function publishHost(source: TableSource, table: string, address: string, log: Logger): () => void {
    let timer: NodeJS.Timeout | undefined;
    const publish = (): void => {
        source.putRow(table, address, Buffer.from("{}")).catch((error: unknown) => {
            log.warn({ err: error }, "peers: own address not published, trying again");
            timer = setTimeout(publish, RETRY_MS * (0.5 + Math.random()));
        });
    };
    publish();
    return () => clearTimeout(timer);
}
