import { toPoolId, toTicketNumber, toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { type Configuration, emptyConfiguration, planTicket, type Ticket } from "../../src/index.js";

const buildTicket = (number: number, replaces: number): Ticket => ({
    number: toTicketNumber(number),
    summary: "one pool",
    objects: [{
        replaces: toTicketNumber(replaces),
        body: { kind: "pool", name: toPoolId("models"), owner: toWorkspaceId("desk"), serves: "engine" },
    }],
    removals: [],
});

const applyOrThrow = (configuration: Configuration, ticket: Ticket): Configuration => {
    const plan = planTicket(configuration, ticket);
    if (!plan.ok) {
        throw new Error(JSON.stringify(plan.findings));
    }
    return plan.next;
};

describe("planTicket guards against an edit of an object that another ticket has changed", () => {
    const first = applyOrThrow(emptyConfiguration, buildTicket(1, 0));
    const cases = [
        { name: "new object", configuration: emptyConfiguration, ticket: buildTicket(1, 0), ok: true },
        { name: "replaces the ticket in force", configuration: first, ticket: buildTicket(2, 1), ok: true },
        { name: "claims a new object that exists", configuration: first, ticket: buildTicket(2, 0), ok: false },
        { name: "replaces a ticket that is not in force", configuration: first, ticket: buildTicket(3, 2), ok: false },
    ];
    it.each(cases)("$name", ({ configuration, ticket, ok }) => {
        expect(planTicket(configuration, ticket).ok).toBe(ok);
    });
});
