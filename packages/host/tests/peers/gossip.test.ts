import { requestJson } from "@currantrill/http";
import { toEndpointId } from "@currantrill/protocol";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { isReady } from "../../src/configuration/queries/isReady.js";
import { publishFact } from "../../src/peers/commands/publishFact.js";
import { queryAliveAttempts } from "../../src/peers/commands/queryAliveAttempts.js";
import { listStops } from "../../src/peers/queries/listStops.js";
import { OPERATOR_KEY, startFleet, type TestFleet, waitUntil } from "../startFleet.js";

const ticket = (number: number): string => `
    ticket = ${number}
    summary = "workspace"
    workspaces = [{
        name = "desk",
        replaces = ${number - 1},
        key_sha256 = "${"0".repeat(64)}",
        tokens_per_second = 1,
        burst_tokens = 1,
        max_concurrent = 1
    }]`;

describe("hosts in two failure domains", () => {
    let fleet: TestFleet;
    beforeAll(async () => {
        fleet = await startFleet({ a: 3, b: 3 });
        await waitUntil("all hosts ready", () => fleet.hosts.every(host => isReady(host.context)));
    });
    afterAll(() => fleet.stop());

    const applyTicket = async (number: number): Promise<number> => {
        const address = fleet.hosts[0]!.context.settings.listen.operators;
        const response = await requestJson(`http://${address}/admin/tickets`, {
            method: "POST",
            headers: { authorization: `Bearer ${OPERATOR_KEY}` },
            body: { text: ticket(number), source: "test.toml" },
        });
        return response.status;
    };
    const allHave = (revision: number) =>
        fleet.hosts.every(host => host.context.configuration.current.revision === revision);

    it("distributes each configuration to all hosts", async () => {
        expect(await applyTicket(1)).toBe(200);
        await waitUntil("revision 1 on all hosts", () => allHave(1));
        expect(await applyTicket(2)).toBe(200);
        await waitUntil("revision 2 on all hosts", () => allHave(2));
    });

    it("distributes a stop to all hosts", async () => {
        const endpoint = toEndpointId("engine-1");
        publishFact(fleet.hosts[5]!.context, { kind: "stop", endpoint, lendEpoch: 1, reason: "test" });
        await waitUntil("stop on all hosts", () => fleet.hosts.every(host => listStops(host.context).has(endpoint)));
    });

    // A wrong answer would let the sweeper release the memory of a running attempt.
    it("answers an owner query with the running attempts of the queried incarnation only", async () => {
        const [first, , , , , last] = fleet.hosts.map(host => host.context);
        await waitUntil("membership", () => first!.fleet.membership.members.has(last!.fleet.self));
        last!.fleet.listAliveAttempts = attempts => attempts.slice(0, 1);
        const query = (incarnation: NonNullable<typeof last>["incarnation"]) =>
            queryAliveAttempts(first!, last!.fleet.self, incarnation, ["x", "y"] as never);
        expect((await query(last!.incarnation)).alive).toEqual(["x"]);
        expect((await query("earlier run" as never)).alive).toEqual([]);
    });

    it("closes and reopens a connection without pongs", async () => {
        const { context } = fleet.hosts[0]!;
        const [connection] = context.fleet.connections.values();
        connection!.lastPongAtMs = -Infinity;
        connection!.pings.clear();
        await waitUntil("closed", () => context.fleet.connections.get(connection!.host) !== connection);
        await waitUntil("reopened", () => context.fleet.connections.has(connection!.host));
    });

    it("starts a replaced host with its peers' configuration and stops while the platform is down", async () => {
        await fleet.stopPlatform();
        const host = await fleet.addHost("b-4", "b");
        await waitUntil("ready", () => isReady(host.context));
        expect(host.context.configuration.current.revision).toBe(2);
        expect(host.context.configuration.start.platform).toBe("unreachable");
        await waitUntil("stop", () => listStops(host.context).size === 1);
        expect(await applyTicket(3)).not.toBe(200);
    });
});
