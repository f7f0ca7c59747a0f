/** Reads the newest configuration from the platform's table service. */
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
import { readClocks } from "@currantrill/protocol";
import type { Revision, TableRow } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { computeConfirmationAge } from "../queries/computeConfirmationAge.js";
import { adoptConfiguration } from "./adoptConfiguration.js";
import { updateFreshness } from "./updateFreshness.js";

/** Interval at which the pollers of a failure domain read the platform. */
export const POLL_INTERVAL_MS = 1_000;
/**
 * Age of the last confirmation from which a host that is not a poller reads the platform itself. The interval between
 * such reads is a random time from half to one and a half of it.
 */
const FALLBACK_AGE_MS = 15_000;

/**
 * Reads the head row, which names the current revision, and the configuration if it is newer than the active one.
 * Adopts it and records the confirmation. Rejects if the platform cannot be read.
 */
export async function readHead(context: HostContext): Promise<void> {
    const state = context.configuration;
    try {
        const startedAt = readClocks();
        const { configuration, headRevision } = await readConfiguration(context, state.current);
        adoptConfiguration(context, configuration);
        updateFreshness(
            context,
            recordPlatformRead(state.freshness, startedAt, headRevision, state.current.revision),
        );
        state.start = advanceStart(state.start, { type: "platformRead", configuration });
    }
    catch (error) {
        state.start = advanceStart(state.start, { type: "platformFailed" });
        throw error;
    }
}

/** Result of a platform read. */
interface HeadRead {
    readonly configuration: Configuration;
    readonly headRevision: Revision;
}

async function readConfiguration(context: HostContext, active: Configuration): Promise<HeadRead> {
    const head = await readConfigurationRow(context, HEAD_ROW_KEY);
    const headRevision = (head?.value as HeadRow | undefined)?.revision ?? emptyConfiguration.revision;
    if (headRevision <= active.revision) {
        return { configuration: active, headRevision };
    }
    const row = await readConfigurationRow(context, formatRevisionKey(headRevision));
    return { configuration: (row?.value as Configuration | undefined) ?? active, headRevision };
}

/** Reads a row of the configuration table and counts the read in the metrics. Rejects with `StoreUnavailable`. */
export function readConfigurationRow(context: HostContext, key: string): Promise<TableRow | undefined> {
    context.metrics.platformRequests.inc({ use: "configuration", operation: "read" });
    return context.tables.readRow(CONFIGURATION_TABLE, key);
}

/**
 * Starts to poll the platform until the returned timer is cleared. A poll is made if this host is one of the pollers of
 * its failure domain, or if its configuration has not been confirmed for `FALLBACK_AGE_MS`.
 */
export function startConfigurationPoll(context: HostContext): NodeJS.Timeout {
    let isReading = false;
    let nextFallbackMs = 0;
    return setInterval(() => {
        const now = performance.now();
        const isStale = (computeConfirmationAge(context.configuration) ?? Infinity) > FALLBACK_AGE_MS;
        const isDue = isPoller(context, now) || (isStale && now >= nextFallbackMs);
        if (isReading || !isDue) {
            return;
        }
        isReading = true;
        nextFallbackMs = now + FALLBACK_AGE_MS * (0.5 + Math.random());
        readHead(context)
            .catch((error: unknown) => context.log.warn({ err: error }, "configuration: cannot read from the platform"))
            .finally(() => {
                isReading = false;
            });
    }, POLL_INTERVAL_MS);
}

const isPoller = (context: HostContext, now: number): boolean =>
    listPollers(context.fleet.membership, now).includes(context.fleet.self);
