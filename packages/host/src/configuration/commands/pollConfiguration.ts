/** Reads the configuration in force from the platform's table service. */
import {
    advanceStart,
    type Configuration,
    CONFIGURATION_TABLE,
    emptyConfiguration,
    formatRevisionKey,
    HEAD_ROW_KEY,
    type HeadRow,
    listPollers,
    recordPlatformRead,
} from "@currantrill/core";
import type { Revision, TableRow } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { readClocks } from "../model/configurationHolder.js";
import { computeConfirmationAge } from "../queries/computeConfirmationAge.js";
import { adoptConfiguration } from "./adoptConfiguration.js";
import { updateFreshness } from "./updateFreshness.js";

export const POLL_INTERVAL_MS = 1_000;
/** Age of the confirmation from which a host that is no poller reads the platform itself, no more often than this. */
const FALLBACK_MS = 15_000;

/** Reads the head, and the configuration if it is newer. Rejects if the platform gives no answer. */
export async function readHead(context: HostContext): Promise<void> {
    const holder = context.configuration;
    try {
        const startedAt = readClocks();
        const { configuration, headRevision } = await readConfiguration(context, holder.current);
        adoptConfiguration(context, configuration);
        updateFreshness(
            context,
            recordPlatformRead(holder.freshness, startedAt, headRevision, holder.current.revision),
        );
        holder.start = advanceStart(holder.start, { type: "platformRead", configuration });
    }
    catch (error) {
        holder.start = advanceStart(holder.start, { type: "platformFailed" });
        throw error;
    }
}

interface ReadConfiguration {
    readonly configuration: Configuration;
    readonly headRevision: Revision;
}

async function readConfiguration(context: HostContext, known: Configuration): Promise<ReadConfiguration> {
    const head = await readConfigurationRow(context, HEAD_ROW_KEY);
    const headRevision = (head?.value as HeadRow | undefined)?.revision ?? emptyConfiguration.revision;
    if (headRevision <= known.revision) {
        return { configuration: known, headRevision };
    }
    const row = await readConfigurationRow(context, formatRevisionKey(headRevision));
    return { configuration: (row?.value as Configuration | undefined) ?? known, headRevision };
}

/** Reads a row of the configuration's table, and counts the read. */
export function readConfigurationRow(context: HostContext, key: string): Promise<TableRow | undefined> {
    context.metrics.platformRequests.inc({ use: "configuration", operation: "read" });
    return context.tables.readRow(CONFIGURATION_TABLE, key);
}

/** Polls until the host stops, if this host is one of the domain's pollers or has no news from them. */
export function startConfigurationPoll(context: HostContext): NodeJS.Timeout {
    let isReading = false;
    let nextFallbackMs = 0;
    return setInterval(() => {
        const now = performance.now();
        const isSilent = (computeConfirmationAge(context.configuration) ?? Infinity) > FALLBACK_MS;
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
