import type { ConfigurationObject, Ticket, TicketObject } from "@currantrill/core";
import { toTicketNumber } from "@currantrill/protocol";
import { type TicketDocument, ticketSchema } from "../model/ticketSchema.js";
import { type ParseResult, parseWithSchema } from "./parseWithSchema.js";

/**
 * Parses a ticket and validates its format. `source` is the file name used in findings. `planTicket` of the core
 * validates the ticket against the active configuration.
 */
export function parseTicket(text: string, source: string): ParseResult<Ticket> {
    const parsed = parseWithSchema(text, source, ticketSchema);
    return parsed.ok ? { ok: true, value: buildTicket(parsed.value) } : parsed;
}

type Section = "pools" | "endpoints" | "workspaces" | "rules" | "models" | "services" | "domains";

const objectKinds: Record<Section, ConfigurationObject["kind"]> = {
    pools: "pool",
    endpoints: "endpoint",
    workspaces: "workspace",
    rules: "rule",
    models: "model",
    services: "service",
    domains: "domain",
};

function buildTicket(document: TicketDocument): Ticket {
    const sections = Object.keys(objectKinds) as Section[];
    return {
        number: toTicketNumber(document.ticket),
        summary: document.summary,
        objects: sections.flatMap(section => document[section].map(entry => buildObject(objectKinds[section], entry))),
        removals: document.remove.map(entry => ({ ...entry, replaces: toTicketNumber(entry.replaces) })),
    };
}

function buildObject(kind: ConfigurationObject["kind"], entry: { replaces: number; }): TicketObject {
    const { replaces, ...fields } = entry;
    const camelCaseFields = Object.entries(fields).map(([key, value]) => [toCamelCase(key), value] as const);
    // The schema has the same fields as the object type, in snake case.
    const body = { kind, ...Object.fromEntries(camelCaseFields) } as unknown as ConfigurationObject;
    return { replaces: toTicketNumber(replaces), body };
}

const toCamelCase = (key: string): string =>
    key.replace(/_([a-z0-9])/g, (_match, letter: string) => letter.toUpperCase());
