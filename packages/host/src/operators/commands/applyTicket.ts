import { type Configuration, type Finding, planTicket, type Ticket } from "@currantrill/core";
import type { JsonValue } from "@currantrill/protocol";
import { adoptConfiguration } from "../../configuration/commands/adoptConfiguration.js";
import { CONFIG_TABLE, HEAD_KEY, readHead } from "../../configuration/commands/pollConfiguration.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";

export type ApplyResult =
    | { readonly ok: true; readonly revision: number; }
    | { readonly ok: false; readonly findings: readonly Finding[]; };

/** Applies a ticket in one transaction of the table service. */
export async function applyTicket(context: HostContext, ticket: Ticket): Promise<ApplyResult> {
    await readHead(context);
    const version = (await context.tables.readRow(CONFIG_TABLE, HEAD_KEY))?.version ?? 0;
    const plan = planTicket(context.configuration.current, ticket);
    if (!plan.ok) {
        return plan;
    }
    const result = await context.tables.transact({
        attemptId: createAttemptId(),
        conditions: [{ table: CONFIG_TABLE, key: HEAD_KEY, version }],
        writes: [
            { table: CONFIG_TABLE, key: HEAD_KEY, value: { revision: plan.next.revision } },
            { table: CONFIG_TABLE, key: `revision/${plan.next.revision}`, value: toJson(plan.next) },
        ],
    });
    if (!result.committed) {
        return {
            ok: false,
            findings: [{
                source: `ticket ${ticket.number}`,
                path: "",
                found: "another ticket won",
                expected: "a new plan",
            }],
        };
    }
    adoptConfiguration(context, plan.next);
    return { ok: true, revision: plan.next.revision };
}

const toJson = (configuration: Configuration): JsonValue => JSON.parse(JSON.stringify(configuration)) as JsonValue;
