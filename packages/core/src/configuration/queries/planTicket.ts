/** Checks a ticket against the configuration in force and computes the next one. */
import { toRevision } from "@currantrill/protocol";
import type { Configuration, ObjectKey, StoredObject, Ticket } from "../../model/configuration.js";
import type { Finding } from "../../model/finding.js";

export interface TicketChange {
    readonly key: ObjectKey;
    readonly action: "create" | "replace" | "remove";
}

export type TicketPlan =
    | { readonly ok: true; readonly changes: readonly TicketChange[]; readonly next: Configuration; }
    | { readonly ok: false; readonly findings: readonly Finding[]; };

/** Plans a ticket. One finding rejects the whole ticket. */
export function planTicket(configuration: Configuration, ticket: Ticket): TicketPlan {
    const findings = ticket.objects.flatMap(({ body, replaces }) =>
        checkReplaces(configuration, `${body.kind}/${body.name}`, replaces, ticket)
    );
    if (findings.length > 0) {
        return { ok: false, findings };
    }
    const objects: Record<ObjectKey, StoredObject> = { ...configuration.objects };
    const changes: TicketChange[] = [];
    for (const { body } of ticket.objects) {
        const key: ObjectKey = `${body.kind}/${body.name}`;
        changes.push({ key, action: objects[key] === undefined ? "create" : "replace" });
        objects[key] = { ticket: ticket.number, body };
    }
    return { ok: true, changes, next: { revision: toRevision(configuration.revision + 1), objects } };
}

function checkReplaces(configuration: Configuration, key: ObjectKey, replaces: number, ticket: Ticket): Finding[] {
    const current = configuration.objects[key]?.ticket ?? 0;
    if (current === replaces) {
        return [];
    }
    return [{
        source: `ticket ${ticket.number}`,
        path: `${key}.replaces`,
        found: String(replaces),
        expected: `${current}, the ticket that last set the object`,
    }];
}
