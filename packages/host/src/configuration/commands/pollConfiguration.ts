/** Reads the configuration in force from the platform's table service. */
import { type Configuration, listPollers } from "@currantrill/core";
import { toRevision } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { adoptConfiguration } from "./adoptConfiguration.js";
import { recordConfirmation } from "./shareConfiguration.js";

export const POLL_INTERVAL_MS = 1_000;
/** Age of the confirmation from which a host that is no poller reads the platform itself, no more often than this. */
const FALLBACK_MS = 15_000;

/** Row of the table `config` that holds the newest revision. */
export const HEAD_KEY = "head";
export const CONFIG_TABLE = "config";

/** Reads the head, and the configuration if it is newer. Rejects if the platform gives no answer. */
export async function readHead(context: HostContext): Promise<void> {
    const startedAtMs = performance.now();
    context.metrics.platformRequests.inc({ use: "configuration", operation: "read" });
    const head = await context.tables.readRow(CONFIG_TABLE, HEAD_KEY);
    const revision = toRevision((head?.value as { revision?: number; } | undefined)?.revision ?? 0);
    if (revision > context.configuration.current.revision) {
        context.metrics.platformRequests.inc({ use: "configuration", operation: "read" });
        const row = await context.tables.readRow(CONFIG_TABLE, `revision/${revision}`);
        if (row !== undefined) {
            adoptConfiguration(context, row.value as unknown as Configuration);
        }
    }
    recordConfirmation(context, revision, startedAtMs);
    context.configuration.hasReadPlatform = true;
}

/** Polls until the host stops, if this host is one of the domain's pollers or has no news from them. */
export function startConfigurationPoll(context: HostContext): NodeJS.Timeout {
    let isReading = false;
    let nextFallbackMs = 0;
    return setInterval(() => {
        const now = performance.now();
        const isSilent = now - (context.configuration.confirmedAtMs ?? -Infinity) > FALLBACK_MS;
        const isDue = isPoller(context, now) || (isSilent && now >= nextFallbackMs);
        if (isReading || !isDue) {
            return;
        }
        isReading = true;
        nextFallbackMs = now + FALLBACK_MS * (0.5 + Math.random());
        readHead(context)
            .catch((error: unknown) => context.log.warn({ err: error }, "configuration: platform not reachable"))
            .finally(() => {
                isReading = false;
            });
    }, POLL_INTERVAL_MS);
}

const isPoller = (context: HostContext, now: number): boolean =>
    listPollers(context.fleet.membership, now).includes(context.fleet.self);
