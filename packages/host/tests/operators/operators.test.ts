import { requestJson } from "@currantrill/http";
import type { ApplyAnswer, OperatorError, PlanAnswer, TicketHistory, TicketStatus } from "@currantrill/protocol";
import { createStoreError } from "@currantrill/store";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { isReady } from "../../src/configuration/queries/isReady.js";
import { listStops } from "../../src/peers/queries/listStops.js";
import { OPERATOR_KEY, startFleet, type TestFleet, waitUntil } from "../startFleet.js";

const workspace = (replaces: number, tokens = 1): string =>
    `workspaces = [{ name = "desk", replaces = ${replaces}, key_sha256 = "${"0".repeat(64)}",
        tokens_per_second = ${tokens}, burst_tokens = 1, max_concurrent = 1 }]`;
const endpoints = `pools = [{ name = "models", replaces = 0, owner = "desk", serves = "engine" }]
    endpoints = [{ name = "e1", replaces = 0, pool = "models", url = "http://127.0.0.1:9", failure_domain = "a" }]`;
const ticket = (number: number, content: string): string => `ticket = ${number}\nsummary = "t${number}"\n${content}`;

describe("operator routes", () => {
    let fleet: TestFleet;
    beforeAll(async () => {
        fleet = await startFleet({ a: 2 });
        await waitUntil("ready", () => fleet.hosts.every(host => isReady(host.context)));
    });
    afterAll(() => fleet.stop());

    const send = async (path: string, body?: unknown, host = 0, key = OPERATOR_KEY) => {
        const address = fleet.hosts[host]!.context.settings.listen.operators;
        const { status, body: answer } = await requestJson(`http://${address}/admin${path}`, {
            method: body === undefined ? "GET" : "POST",
            headers: { authorization: `Bearer ${key}` },
            timeoutMs: 15_000,
            ...(body === undefined ? {} : { body }),
        });
        return { status, answer };
    };
    const apply = (number: number, content: string, host = 0) =>
        send("/tickets", { text: ticket(number, content), source: "t.toml" }, host);

    it("applies no part of a ticket if any part of it is invalid", async () => {
        const { status, answer } = await apply(1, `${workspace(0)}\npools = [{ name = "Models" }]`);
        expect(status).toBe(400);
        expect((answer as OperatorError).findings.length).toBeGreaterThan(2);
        expect(fleet.hosts[0]!.context.configuration.current.revision).toBe(0);
    });

    it("applies only one of two conflicting tickets that are sent at the same time", async () => {
        const results = await Promise.all([apply(1, workspace(0), 0), apply(2, workspace(0), 1)]);
        expect(results.map(({ status }) => status).sort()).toEqual([200, 409]);
        const loser = results.find(({ status }) => status === 409)!.answer as OperatorError;
        const winner = results.find(({ status }) => status === 200)!.answer as ApplyAnswer;
        expect(JSON.stringify(loser.findings)).toContain(`ticket ${winner.ticket}`);
    });

    it("applies a ticket once although the response of the platform is lost and the ticket is sent again", async () => {
        const { tables } = fleet.hosts[0]!.context;
        const transact = tables.transact.bind(tables);
        tables.transact = async transaction => {
            tables.transact = transact;
            await transact(transaction);
            throw createStoreError("StoreAnswerLost", "response dropped by the test");
        };
        const { status, answer } = await apply(10, endpoints);
        expect({ status, revision: (answer as ApplyAnswer).revision }).toEqual({ status: 200, revision: 2 });
        const again = await apply(10, endpoints);
        expect(again.answer).toMatchObject({ alreadyApplied: true, revision: 2 });
        expect((await apply(10, workspace(1, 5))).status).toBe(409);
    });

    it("lists every changed field in a plan", async () => {
        const replaces = fleet.hosts[0]!.context.configuration.current.objects["workspace/desk"]!.ticket;
        const plan = await send("/tickets/plan", { text: ticket(11, workspace(replaces, 7)) });
        expect((plan.answer as PlanAnswer).changes).toEqual([{
            key: "workspace/desk",
            action: "replace",
            fields: [{ field: "tokensPerSecond", before: 1, after: 7 }],
        }]);
    });

    it("lists all hosts in the status of a ticket", async () => {
        await waitUntil(
            "revision 2 in the host facts on all hosts",
            () =>
                fleet.hosts.every(({ context }) =>
                    [...context.fleet.gossip.facts.values()].filter(({ versioned: { fact } }) =>
                        fact.kind === "host" && fact.revision === 2
                    ).length === 2
                ),
        );
        const status = (await send("/tickets/10")).answer as TicketStatus;
        expect(status.hosts.map(host => [host.host, host.inForce])).toEqual([["a-1", true], ["a-2", true]]);
        expect(status.inForceEverywhere).toBe(true);
        const history = (await send("/tickets")).answer as TicketHistory;
        expect(history.tickets.map(entry => entry.ticket)).toHaveLength(2);
        expect(history.tickets[0]?.ticket).toBe(10);
    });

    it.each([
        { name: "wrong key", path: "/hosts", body: undefined, key: "wrong", status: 401 },
        { name: "unknown ticket", path: "/tickets/99", body: undefined, key: OPERATOR_KEY, status: 404 },
        { name: "no ticket number", path: "/tickets/x", body: undefined, key: OPERATOR_KEY, status: 400 },
        { name: "limit out of range", path: "/tickets?limit=0", body: undefined, key: OPERATOR_KEY, status: 400 },
        { name: "no ticket text", path: "/tickets", body: {}, key: OPERATOR_KEY, status: 400 },
        { name: "stop without reason", path: "/stops", body: { endpoint: "e1" }, key: OPERATOR_KEY, status: 400 },
        {
            name: "stop of an unknown endpoint",
            path: "/stops",
            body: { endpoint: "e9", reason: "r" },
            key: OPERATOR_KEY,
            status: 404,
        },
    ])("rejects invalid input: $name", async ({ path, body, key, status }) => {
        expect((await send(path, body, 0, key)).status).toBe(status);
    });

    it("refuses a ticket and stops an endpoint while the platform is unavailable", async () => {
        await fleet.stopPlatform();
        expect((await apply(12, workspace(1))).status).toBe(503);
        expect((await send("/stops", { endpoint: "e1", reason: "maintenance" })).status).toBe(200);
        await waitUntil("stop on both hosts", () => fleet.hosts.every(({ context }) => listStops(context).size === 1));
    });
});
