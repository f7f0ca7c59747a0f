import { toPoolId, toRevision, toTicketNumber, toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    type Configuration,
    type ConfigurationObject,
    emptyConfiguration,
    planTicket,
    type Ticket,
    type TicketRow,
} from "../../src/index.js";
import { buildEndpoint, buildPool, buildWorkspace } from "../builders.js";

type Entry = [replaces: number, body: ConfigurationObject];

const buildTicket = (number: number, entries: Entry[], removals: Ticket["removals"] = []): Ticket => ({
    number: toTicketNumber(number),
    summary: "test",
    objects: entries.map(([replaces, body]) => ({ replaces: toTicketNumber(replaces), body })),
    removals,
});

const removePool = (
    replaces: number,
) => [{ kind: "pool" as const, name: "models", replaces: toTicketNumber(replaces) }];

const applyOrThrow = (configuration: Configuration, ticket: Ticket): Configuration => {
    const plan = planTicket(configuration, ticket);
    if (!plan.ok) {
        throw new Error(JSON.stringify(plan.findings));
    }
    return plan.next;
};

const pool = buildPool("models", "desk");
const base: Entry[] = [[0, buildWorkspace("desk")], [0, pool]];
const firstConfiguration = applyOrThrow(emptyConfiguration, buildTicket(1, base));
const withEndpoint = applyOrThrow(firstConfiguration, buildTicket(2, [[0, buildEndpoint("e1", { lendEpoch: 2 })]]));

describe("planTicket guards against an edit of an object that another ticket has changed", () => {
    const cases = [
        { name: "new objects", configuration: emptyConfiguration, ticket: buildTicket(1, base), ok: true },
        {
            name: "replaces the ticket that set the object",
            configuration: firstConfiguration,
            ticket: buildTicket(2, [[1, pool]]),
            ok: true,
        },
        {
            name: "claims a new object that exists",
            configuration: firstConfiguration,
            ticket: buildTicket(2, [[0, pool]]),
            ok: false,
        },
        {
            name: "replaces a ticket that did not set the object",
            configuration: firstConfiguration,
            ticket: buildTicket(3, [[2, pool]]),
            ok: false,
        },
        {
            name: "removes an unreferenced object",
            configuration: firstConfiguration,
            ticket: buildTicket(2, [], removePool(1)),
            ok: true,
        },
        {
            name: "removes an object that another ticket set",
            configuration: firstConfiguration,
            ticket: buildTicket(2, [], removePool(3)),
            ok: false,
        },
    ];
    it.each(cases)("$name", ({ configuration, ticket, ok }) => {
        expect(planTicket(configuration, ticket)).toMatchObject(ok ? { ok } : { ok, code: "conflict" });
    });

    it("names both tickets of a conflict", () => {
        const plan = planTicket(
            applyOrThrow(firstConfiguration, buildTicket(7, [[1, pool]])),
            buildTicket(8, [[1, pool]]),
        );
        expect(JSON.stringify(plan)).toMatch(/ticket 8.*ticket 7 last set it/);
    });
});

describe("planTicket guards against invalid references and contents", () => {
    const service = { ...buildPool("models", "desk"), serves: "service" as const };
    const model = {
        kind: "model",
        name: "m" as never,
        version: "1",
        adapters: [],
        pools: [toPoolId("models")],
        replicas: 1,
        maxPromptTokens: 1_000,
    } as const;
    const cases = [
        { name: "unknown owner", ticket: buildTicket(2, [[1, { ...pool, owner: toWorkspaceId("x") }]]), path: "owner" },
        {
            name: "unknown pool",
            ticket: buildTicket(3, [[0, { ...buildEndpoint("e2"), pool: toPoolId("x") }]]),
            path: "pool",
        },
        { name: "removal of a pool in use", ticket: buildTicket(3, [], removePool(1)), path: "endpoint/e1.pool" },
        {
            name: "model on a service pool",
            ticket: buildTicket(3, [[1, service], [0, model]]),
            path: "model/m.pools[0]",
        },
        { name: "lower lend epoch", ticket: buildTicket(3, [[2, buildEndpoint("e1")]]), path: "lendEpoch" },
        { name: "the same object twice", ticket: buildTicket(3, [[1, pool], [1, pool]]), path: "pool/models" },
        { name: "nothing to change", ticket: buildTicket(3, []), path: "" },
    ];
    it.each(cases)("$name", ({ ticket, path }) => {
        const plan = planTicket(withEndpoint, ticket);
        expect(plan).toMatchObject({ ok: false, code: "invalid" });
        expect(plan.ok ? [] : plan.findings.map(finding => finding.path).filter(text => text.endsWith(path))).not
            .toEqual([]);
    });
});

describe("planTicket guards against a ticket that is applied twice", () => {
    const applied = (ticket: Ticket): TicketRow => ({
        ticket,
        revision: toRevision(1),
        attempt: "a" as never,
        appliedAtMs: 0,
    });
    it("reports the same content as applied, in any order of its entries", () => {
        const plan = planTicket(firstConfiguration, buildTicket(1, [...base].reverse()), applied(buildTicket(1, base)));
        expect(plan).toMatchObject({ ok: true, appliedAs: 1, next: firstConfiguration });
    });
    it("refuses different content under the same number", () => {
        expect(planTicket(firstConfiguration, buildTicket(1, [[1, pool]]), applied(buildTicket(1, base))))
            .toMatchObject({ ok: false, code: "conflict" });
    });
});
