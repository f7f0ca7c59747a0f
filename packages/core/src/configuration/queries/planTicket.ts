/** Checks a ticket against the active configuration and computes the next one. */
import type { Revision, TicketNumber } from "@currantrill/protocol";
import { toRevision } from "@currantrill/protocol";
import { checkEvacuations, listNewFindings } from "../../evacuation/queries/checkEvacuations.js";
import type { Configuration, ObjectKey, StoredObject, Ticket, TicketObject } from "../../model/configuration.js";
import type { Finding } from "../../model/finding.js";
import type { TicketRow } from "../model/ticketRows.js";
import { checkReferences } from "./checkReferences.js";
import { formatCanonical } from "./formatCanonical.js";

/** Effect of a ticket on one object. */
export interface TicketChange {
    readonly key: ObjectKey;
    readonly action: "create" | "replace" | "remove";
}

/** The next configuration, or the findings for which the ticket is refused. */
export type TicketPlan =
    | {
        readonly ok: true;
        readonly changes: readonly TicketChange[];
        readonly next: Configuration;
        /** Revision that the ticket created when it was applied earlier; then no change is needed. */
        readonly appliedAs: Revision | undefined;
        /** What the ticket leads to that may not be intended. It does not refuse the ticket. */
        readonly warnings: readonly Finding[];
    }
    | {
        readonly ok: false;
        /** `conflict`: another ticket set the object or took the number. `invalid`: the ticket itself is wrong. */
        readonly code: "invalid" | "conflict";
        readonly findings: readonly Finding[];
    };

/** Plans a ticket. A single finding refuses all of it. `applied` is the row of the ticket's number, if it exists. */
export function planTicket(configuration: Configuration, ticket: Ticket, applied?: TicketRow): TicketPlan {
    if (applied !== undefined) {
        return planRepeatedTicket(configuration, ticket, applied);
    }
    const conflicts = checkReplacedTickets(configuration, ticket);
    const next = computeNext(configuration, ticket);
    const invalid = [
        ...checkContents(ticket),
        ...checkLendEpochs(configuration, ticket),
        ...checkReferences(next, formatSource(ticket)),
    ];
    if (conflicts.length > 0 || invalid.length > 0) {
        const code = conflicts.length > 0 ? "conflict" : "invalid";
        return { ok: false, code, findings: [...conflicts, ...invalid] };
    }
    const warnings = listNewFindings(
        checkEvacuations(configuration, formatSource(ticket)),
        checkEvacuations(next, formatSource(ticket)),
    );
    return { ok: true, changes: listChanges(configuration, ticket), next, appliedAs: undefined, warnings };
}

const formatSource = (ticket: Ticket): string => `ticket ${ticket.number}`;
const toKey = ({ body }: TicketObject): ObjectKey => `${body.kind}/${body.name}`;

/** Lists objects and removals with the ticket that each claims to replace. */
function listEntries(ticket: Ticket): { readonly key: ObjectKey; readonly replaces: TicketNumber; }[] {
    return [
        ...ticket.objects.map(object => ({ key: toKey(object), replaces: object.replaces })),
        ...ticket.removals.map(({ kind, name, replaces }) => ({ key: `${kind}/${name}` as const, replaces })),
    ];
}

/** Plans a ticket whose number is already applied: the same contents change nothing, different ones conflict. */
function planRepeatedTicket(configuration: Configuration, ticket: Ticket, applied: TicketRow): TicketPlan {
    if (formatCanonical(sortEntries(ticket)) === formatCanonical(sortEntries(applied.ticket))) {
        return { ok: true, changes: [], next: configuration, appliedAs: applied.revision, warnings: [] };
    }
    const finding = {
        source: formatSource(ticket),
        path: "ticket",
        found: `${ticket.number} with other contents ("${ticket.summary}")`,
        expected: `a number other than that of ticket ${applied.ticket.number} ("${applied.ticket.summary}"), `
            + `which was applied as revision ${applied.revision}`,
    };
    return { ok: false, code: "conflict", findings: [finding] };
}

/** The order in which a ticket lists its entries has no meaning. */
function sortEntries(ticket: Ticket): Ticket {
    const compareText = (a: string, b: string): number => a < b ? -1 : 1;
    return {
        ...ticket,
        objects: [...ticket.objects].sort((a, b) => compareText(toKey(a), toKey(b))),
        removals: [...ticket.removals].sort((a, b) => compareText(`${a.kind}/${a.name}`, `${b.kind}/${b.name}`)),
    };
}

function checkReplacedTickets(configuration: Configuration, ticket: Ticket): Finding[] {
    return listEntries(ticket).flatMap(({ key, replaces }) => {
        const current = configuration.objects[key]?.ticket ?? 0;
        if (current === replaces) {
            return [];
        }
        return [{
            source: formatSource(ticket),
            path: `${key}.replaces`,
            found: replaces === 0 ? "0, for a new object" : `ticket ${replaces}`,
            expected: current === 0
                ? "0, because the object does not exist"
                : `${current}, as ticket ${current} last set it`,
        }];
    });
}

function checkContents(ticket: Ticket): Finding[] {
    const source = formatSource(ticket);
    const entries = listEntries(ticket);
    if (entries.length === 0) {
        return [{ source, path: "", found: "no object and no removal", expected: "at least one" }];
    }
    const repeated = entries.filter(({ key }, index) => entries.findIndex(entry => entry.key === key) < index);
    return repeated.map(({ key }) => ({ source, path: key, found: "more than one entry", expected: "one entry" }));
}

/** A lower lend epoch would let a local stop that was overridden take effect again. */
function checkLendEpochs(configuration: Configuration, ticket: Ticket): Finding[] {
    return ticket.objects.flatMap(object => {
        const current = configuration.objects[toKey(object)]?.body;
        const { body } = object;
        if (body.kind !== "endpoint" || current?.kind !== "endpoint" || body.lendEpoch >= current.lendEpoch) {
            return [];
        }
        return [{
            source: formatSource(ticket),
            path: `${toKey(object)}.lendEpoch`,
            found: String(body.lendEpoch),
            expected: `at least ${current.lendEpoch}, the epoch in force`,
        }];
    });
}

function computeNext(configuration: Configuration, ticket: Ticket): Configuration {
    const removed = new Set<string>(ticket.removals.map(({ kind, name }) => `${kind}/${name}`));
    const kept = Object.entries(configuration.objects).filter(([key]) => !removed.has(key));
    const set = ticket.objects.map((object): [ObjectKey, StoredObject] => [
        toKey(object),
        { ticket: ticket.number, body: object.body },
    ]);
    return { revision: toRevision(configuration.revision + 1), objects: Object.fromEntries([...kept, ...set]) };
}

function listChanges(configuration: Configuration, ticket: Ticket): TicketChange[] {
    const set = ticket.objects.map(toKey).map((key): TicketChange => ({
        key,
        action: configuration.objects[key] === undefined ? "create" : "replace",
    }));
    const removed = ticket.removals.map(({ kind, name }): TicketChange => ({
        key: `${kind}/${name}`,
        action: "remove",
    }));
    return [...set, ...removed];
}
