/** Executes the effects of the state machine that applies a ticket. */
import {
    advanceTicket,
    beginTicket,
    type Configuration,
    CONFIGURATION_TABLE,
    emptyConfiguration,
    formatRevisionKey,
    formatTicketKey,
    HEAD_ROW_KEY,
    type HeadRow,
    type PlatformConfiguration,
    type Ticket,
    type TicketEffect,
    type TicketEvent,
    type TicketResult,
    type TicketRow,
    type TicketStep,
} from "@currantrill/core";
import { readClocks } from "@currantrill/protocol";
import { type JsonValue, type Revision, toRevision } from "@currantrill/protocol";
import { isStoreAnswerLost } from "@currantrill/store";
import { adoptConfiguration } from "../../configuration/commands/adoptConfiguration.js";
import { readConfigurationRow } from "../../configuration/commands/pollConfiguration.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import { formatHistoryKey } from "../model/historyRow.js";

/** Time limit after which the result of a ticket is `outcome_unknown`. */
const TICKET_TIMEOUT_MS = 10_000;
/**
 * Number of revisions kept in the table. Old revisions are kept only for manual inspection; the software reads none.
 */
const REVISIONS_KEPT = 20;

type WriteEffect = Extract<TicketEffect, { type: "writeTicket"; }>;

/** Applies a ticket. Never rejects; a result that cannot be determined in time is `outcome_unknown`. */
export function applyTicket(context: HostContext, ticket: Ticket): Promise<TicketResult> {
    const request = { ticket, attempt: createAttemptId(), timeoutMs: TICKET_TIMEOUT_MS };
    const timers = new Set<NodeJS.Timeout>();
    return new Promise(resolve => {
        const first = beginTicket(request, readClocks());
        let { state } = first;
        const advance = (event: TicketEvent): void => {
            const step = advanceTicket(state, event, readClocks());
            state = step.state;
            runEffects(step.effects);
        };
        const runEffects = (effects: TicketStep["effects"]): void => effects.forEach(runEffect);
        const runEffect = (effect: TicketEffect): void => {
            switch (effect.type) {
                case "readPlatform":
                    void readPlatform(context, ticket, effect.operation).then(advance);
                    return;
                case "writeTicket":
                    void writeTicket(context, effect).then(advance);
                    return;
                case "wait":
                    timers.add(
                        setTimeout(() => advance({ type: "timerFired", operation: effect.operation }), effect.delayMs),
                    );
                    return;
                case "adopt":
                    adoptConfiguration(context, effect.configuration);
                    return;
                case "answerOperator":
                    timers.forEach(timer => clearTimeout(timer));
                    resolve(effect.result);
            }
        };
        runEffects(first.effects);
    });
}

async function readPlatform(context: HostContext, ticket: Ticket, operation: number): Promise<TicketEvent> {
    try {
        return { type: "platformRead", operation, platform: await readPlatformConfiguration(context, ticket) };
    }
    catch (error) {
        context.log.warn({ err: error, ticket: ticket.number }, "operators: cannot read from the platform");
        return { type: "readFailed", operation };
    }
}

/**
 * Reads the newest configuration of the platform and the row of the ticket. The row `head` is read first and that of
 * the ticket last, as the state machine requires. Rejects with `StoreUnavailable`.
 */
export async function readPlatformConfiguration(context: HostContext, ticket: Ticket): Promise<PlatformConfiguration> {
    const { headVersion, configuration } = await readNewestConfiguration(context);
    const ticketRow = await readConfigurationRow(context, formatTicketKey(ticket.number));
    return {
        headVersion,
        configuration,
        ticketRow: ticketRow?.value as unknown as TicketRow | undefined,
    };
}

/** Reads the newest configuration of the platform. Rejects with `StoreUnavailable`. */
export async function readNewestConfiguration(
    context: HostContext,
): Promise<Pick<PlatformConfiguration, "headVersion" | "configuration">> {
    const head = await readConfigurationRow(context, HEAD_ROW_KEY);
    const headRevision = (head?.value as HeadRow | undefined)?.revision;
    const configuration = headRevision === undefined
        ? emptyConfiguration
        : await findConfiguration(context, headRevision);
    return { headVersion: head?.version ?? 0, configuration };
}

/** Returns the active configuration of this host if it has the revision, and reads it from the platform otherwise. */
async function findConfiguration(context: HostContext, revision: Revision): Promise<Configuration> {
    const { current } = context.configuration;
    if (current.revision === revision) {
        return current;
    }
    const row = await readConfigurationRow(context, formatRevisionKey(revision));
    return (row?.value as Configuration | undefined) ?? emptyConfiguration;
}

/**
 * Writes the ticket and its revision in one transaction, on the condition that neither the head nor the ticket changed.
 */
async function writeTicket(context: HostContext, effect: WriteEffect): Promise<TicketEvent> {
    const { operation, headVersion, next, row } = effect;
    const { ticket, revision, appliedAtMs } = row;
    const history = { ticket: ticket.number, summary: ticket.summary, revision, appliedAtMs };
    const writes = [
        createWrite(HEAD_ROW_KEY, { revision }),
        createWrite(formatRevisionKey(revision), next),
        createWrite(formatTicketKey(ticket.number), row),
        createWrite(formatHistoryKey(revision), history),
        ...listPrunedWrites(revision),
    ];
    context.metrics.platformRequests.inc({ use: "configuration", operation: "write" });
    try {
        const result = await context.tables.transact({
            attemptId: row.attempt,
            conditions: [
                { table: CONFIGURATION_TABLE, key: HEAD_ROW_KEY, version: headVersion },
                { table: CONFIGURATION_TABLE, key: formatTicketKey(ticket.number), version: 0 },
            ],
            writes,
        });
        return { type: result.committed ? "ticketWritten" : "ticketConflict", operation };
    }
    catch (error) {
        context.log.warn({ err: error, ticket: ticket.number }, "operators: ticket write failed");
        return { type: isStoreAnswerLost(error) ? "writeLost" : "writeRefused", operation };
    }
}

/** Creates a write of the configuration table. The JSON round trip removes undefined fields. */
const createWrite = (key: string, value: unknown) => ({
    table: CONFIGURATION_TABLE,
    key,
    value: JSON.parse(JSON.stringify(value)) as JsonValue,
});

/** Deletes the revision that is no longer kept, if there is one. */
const listPrunedWrites = (revision: Revision) =>
    revision > REVISIONS_KEPT ? [createWrite(formatRevisionKey(toRevision(revision - REVISIONS_KEPT)), null)] : [];
