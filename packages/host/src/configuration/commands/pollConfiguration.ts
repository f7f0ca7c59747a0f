/** Reads the configuration in force from the platform's table service. */
import type { Configuration } from "@currantrill/core";
import { readClocks } from "../../lending/model/lendingWatch.js";
import type { HostContext } from "../../model/hostContext.js";

const POLL_INTERVAL_MS = 1_000;

/** Row of the table `config` that holds the newest configuration. */
export const HEAD_KEY = "head";
export const CONFIG_TABLE = "config";

/** Reads the head once and adopts it if it is newer. Rejects if the platform gives no answer. */
export async function readHead(context: HostContext): Promise<number> {
    const startedAt = readClocks();
    const row = await context.tables.readRow(CONFIG_TABLE, HEAD_KEY);
    context.configuration.confirmedAt = startedAt;
    if (row !== undefined) {
        adoptConfiguration(context, row.value as unknown as Configuration);
    }
    return row?.version ?? 0;
}

/** Adopts a configuration unless the host already has a newer one. */
export function adoptConfiguration(context: HostContext, configuration: Configuration): void {
    if (configuration.revision <= context.configuration.current.revision) {
        return;
    }
    context.configuration.current = configuration;
    context.metrics.configurationRevision.set(configuration.revision);
    context.log.info({ revision: configuration.revision }, "configuration: revision adopted");
}

/** Polls until the host stops. */
export function startConfigurationPoll(context: HostContext): NodeJS.Timeout {
    return setInterval(() => {
        readHead(context).catch((error: unknown) =>
            context.log.warn({ err: error }, "configuration: platform not reachable")
        );
    }, POLL_INTERVAL_MS);
}
