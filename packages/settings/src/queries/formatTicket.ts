import type { ConfigurationObject, Ticket } from "@currantrill/core";
import { stringify } from "smol-toml";

const sections: Record<ConfigurationObject["kind"], string> = {
    pool: "pools",
    endpoint: "endpoints",
    workspace: "workspaces",
    rule: "rules",
    model: "models",
    service: "services",
    domain: "domains",
};

/** Formats a ticket as TOML. `parseTicket` restores an equal ticket from it. */
export function formatTicket(ticket: Ticket): string {
    const document: Record<string, unknown> = { ticket: ticket.number, summary: ticket.summary };
    for (const { body, replaces } of ticket.objects) {
        const { kind, ...fields } = body;
        const entries = Object.entries(fields).map(([key, value]) => [toSnakeCase(key), value] as const);
        const section = sections[kind];
        const previousEntries = (document[section] ?? []) as unknown[];
        document[section] = [...previousEntries, { ...Object.fromEntries(entries), replaces }];
    }
    if (ticket.removals.length > 0) {
        document["remove"] = ticket.removals;
    }
    return stringify(document);
}

const toSnakeCase = (key: string): string => key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
