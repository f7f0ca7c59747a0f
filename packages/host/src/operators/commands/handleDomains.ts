/** Handler of `GET /admin/domains`: the state of the failure domains, and the hosts on which it is in force. */
import {
    checkEvacuations,
    computeNextTicketNumber,
    type Configuration,
    emptyConfiguration,
    formatTicketKey,
    listDomainObjects,
    type TicketRow,
} from "@currantrill/core";
import type { DomainsAnswer, Revision, TicketNumber } from "@currantrill/protocol";
import { readConfigurationRow } from "../../configuration/commands/pollConfiguration.js";
import type { HostContext } from "../../model/hostContext.js";
import { formatHistoryKey, type HistoryRow } from "../model/historyRow.js";
import { listDomainStatuses, type TicketRevisions } from "../queries/listDomainStatuses.js";
import { listHostStatuses } from "../queries/listHostStatuses.js";
import { readNewestConfiguration } from "./applyTicket.js";

/**
 * Answers with the newest state from the platform. While the platform does not respond, answers with the state that is
 * in force on this host, so that the status can be read during an outage.
 */
export async function handleDomains(context: HostContext): Promise<DomainsAnswer> {
    try {
        const { headVersion, configuration } = await readNewestConfiguration(context);
        if (headVersion > 0 && configuration.revision === emptyConfiguration.revision) {
            throw new Error("the revision that head names has been removed since head was read");
        }
        const revisions = await readTicketRevisions(context, configuration);
        const newest = await readConfigurationRow(context, formatHistoryKey(configuration.revision));
        const { ticket: newestTicket } = newest?.value as Partial<HistoryRow> | undefined ?? {};
        return createAnswer(context, configuration, revisions, computeNextTicketNumber(configuration, newestTicket));
    }
    catch (error) {
        context.log.warn({ err: error }, "operators: cannot read from the platform");
        return createAnswer(context, context.configuration.current, undefined, undefined);
    }
}

/** Reads for each ticket that has set a domain the revision that it created. */
async function readTicketRevisions(context: HostContext, configuration: Configuration): Promise<TicketRevisions> {
    const tickets = new Set(listDomainObjects(configuration).map(([, stored]) => stored.ticket));
    const entries = await Promise.all([...tickets].map(async ticket => {
        const row = await readConfigurationRow(context, formatTicketKey(ticket));
        const revision: Revision = (row?.value as TicketRow | undefined)?.revision ?? configuration.revision;
        return [ticket, revision] as const;
    }));
    return new Map(entries);
}

function createAnswer(
    context: HostContext,
    configuration: Configuration,
    revisions: TicketRevisions | undefined,
    nextTicket: TicketNumber | undefined,
): DomainsAnswer {
    return {
        source: revisions === undefined ? "host" : "platform",
        revision: configuration.revision,
        nextTicket,
        domains: listDomainStatuses(configuration, listHostStatuses(context), revisions),
        warnings: checkEvacuations(configuration, `revision ${configuration.revision}`),
    };
}
