import type Logger from "bunyan";
import type { TableSource } from "../../ports/tableSource.js";

/** Interval at which the host checks whether its address has to be published. */
const CHECK_MS = 200;
/** Mean delay before the write is retried. */
const RETRY_MS = 1_000;

export interface PublishHostOptions {
    readonly source: TableSource;
    /** Name of the host table. */
    readonly table: string;
    readonly address: string;
    /** Returns whether other hosts have to find this one through the store: if it follows the store itself. */
    readonly shouldPublish: () => boolean;
    readonly log: Logger;
}

export interface HostPublication {
    /** Writes the address again, because the store may have lost it. */
    readonly republish: () => void;
    readonly stop: () => void;
}

/**
 * Writes this host's address to the host table, from which other hosts learn it, once that is needed, and retries until
 * it succeeds.
 */
export function publishHost(options: PublishHostOptions): HostPublication {
    const { source, table, address, shouldPublish, log } = options;
    let timer: NodeJS.Timeout | undefined;
    const publish = (): void => {
        if (!shouldPublish()) {
            timer = setTimeout(publish, CHECK_MS);
            return;
        }
        source.putRow(table, address, Buffer.from("{}")).catch((error: unknown) => {
            log.warn({ err: error }, "peers: could not publish the address of this host, retrying");
            timer = setTimeout(publish, RETRY_MS * (0.5 + Math.random()));
        });
    };
    publish();
    return {
        republish: () => {
            clearTimeout(timer);
            publish();
        },
        stop: () => clearTimeout(timer),
    };
}
