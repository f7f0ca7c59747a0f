import { type Configuration, type Finding, planTicket, type Ticket } from "@currantrill/core";
import type { JsonValue } from "@currantrill/protocol";
import {
    adoptConfiguration,
    CONFIG_TABLE,
    HEAD_KEY,
    readHead,
} from "../../configuration/commands/pollConfiguration.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";

export type ApplyResult =
    | { readonly ok: true; readonly revision: number; }
    | { readonly ok: false; readonly findings: readonly Finding[]; };

/** Applies a ticket in one transaction of the table service. */
export async function applyTicket(context: HostContext, ticket: Ticket): Promise<ApplyResult> {
    const version = await readHead(context);
    const plan = planTicket(context.configuration.current, ticket);
    if (!plan.ok) {
        return plan;
    }
    const result = await context.tables.transact({
        attemptId: createAttemptId(),
        conditions: [{ table: CONFIG_TABLE, key: HEAD_KEY, version }],
        writes: [{ table: CONFIG_TABLE, key: HEAD_KEY, value: toJson(plan.next) }],
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
