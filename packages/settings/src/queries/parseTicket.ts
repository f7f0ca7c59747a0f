import type { ConfigurationObject, Ticket, TicketObject } from "@currantrill/core";
import { toTicketNumber } from "@currantrill/protocol";
import { type TicketDocument, ticketSchema } from "../model/ticketSchema.js";
import { type ParseResult, parseWithSchema } from "./parseWithSchema.js";

/** Checks the form of a ticket. Whether it fits what is in force is decided by `planTicket` of the core. */
export function parseTicket(text: string, source: string): ParseResult<Ticket> {
    const parsed = parseWithSchema(text, source, ticketSchema);
    return parsed.ok ? { ok: true, value: buildTicket(parsed.value) } : parsed;
}

type Section = "pools" | "endpoints" | "workspaces" | "rules" | "models" | "services";

const sectionKinds: Record<Section, ConfigurationObject["kind"]> = {
    pools: "pool",
    endpoints: "endpoint",
    workspaces: "workspace",
    rules: "rule",
    models: "model",
    services: "service",
};

function buildTicket(document: TicketDocument): Ticket {
    const sections = Object.keys(sectionKinds) as Section[];
    return {
        number: toTicketNumber(document.ticket),
        summary: document.summary,
        objects: sections.flatMap(section => document[section].map(entry => buildObject(sectionKinds[section], entry))),
        removals: document.remove.map(entry => ({ ...entry, replaces: toTicketNumber(entry.replaces) })),
    };
}

function buildObject(kind: ConfigurationObject["kind"], entry: { replaces: number; }): TicketObject {
    const { replaces, ...fields } = entry;
    const renamed = Object.entries(fields).map(([key, value]) => [toCamelCase(key), value] as const);
    // The schema has the same fields as the object type, in the spelling of TOML files.
    const body = { kind, ...Object.fromEntries(renamed) } as unknown as ConfigurationObject;
    return { replaces: toTicketNumber(replaces), body };
}

const toCamelCase = (key: string): string =>
    key.replace(/_([a-z0-9])/g, (_match, letter: string) => letter.toUpperCase());
