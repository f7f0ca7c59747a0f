import { requestJson } from "@currantrill/http";
import { toWorkspaceId } from "@currantrill/protocol";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { updateDemand } from "../../src/limits/commands/updateDemand.js";
import { createWorkspaceLimits } from "../../src/limits/model/workspaceLimits.js";
import { OPERATOR_KEY, startFleet, type TestFleet, waitUntil } from "../startFleet.js";

const desk = toWorkspaceId("desk");
const workspace = {
    kind: "workspace",
    name: desk,
    keySha256: "",
    tokensPerSecond: 1_000,
    burstTokens: 1_000,
    maxConcurrent: 8,
    weight: 1,
} as const;

describe("createWorkspaceLimits limits a host to its share of the entitlement", () => {
    it("admits the equal share at startup and no longer counts ended requests", () => {
        const limits = createWorkspaceLimits(4);
        const grants = [1, 2, 3].map(() => limits.admit(workspace, 10));
        expect(grants.map(grant => grant.admitted)).toEqual([true, true, false]);
        const [first] = grants;
        if (first?.admitted === true) {
            first.grant.end();
            first.grant.end();
        }
        expect(limits.admit(workspace, 10).admitted).toBe(true);
        expect(limits.admit(workspace, 10).admitted).toBe(false);
    });
});

describe("demand exchange", () => {
    let fleet: TestFleet;
    beforeAll(async () => {
        fleet = await startFleet({ a: 2, b: 1 });
        const text = `ticket = 1\nsummary = "w"\nworkspaces = [{ name = "desk", replaces = 0,
            key_sha256 = "${"0".repeat(64)}", tokens_per_second = 1000, burst_tokens = 1000, max_concurrent = 8 }]`;
        await requestJson(`http://${fleet.hosts[0]!.context.settings.listen.operators}/admin/tickets`, {
            method: "POST",
            headers: { authorization: `Bearer ${OPERATOR_KEY}` },
            body: { text },
        });
        await waitUntil(
            "three members and revision 1 on each host",
            () =>
                fleet.hosts.every(({ context }) =>
                    context.fleet.membership.members.size === 3 && context.configuration.current.revision === 1
                ),
        );
    });
    afterAll(() => fleet.stop());

    it("divides the entitlement by the demand of other hosts and failure domains", async () => {
        const [busy] = fleet.hosts.map(({ context }) => context);
        Array.from({ length: 20 }, () => busy!.limits.admit(workspace, 500));
        const contended = new Map<typeof desk, number>();
        const exchange = () => fleet.hosts.forEach(({ context }) => updateDemand(context, contended));
        exchange();
        const find = (index: number, key: string) => fleet.hosts[index]!.context.fleet.gossip.facts.has(key);
        await waitUntil("demand of the first host on the second host of its domain", () => find(1, "demand/a-1"));
        exchange();
        await waitUntil("demand sum of the domain on the host of the other domain", () => find(2, "demand/a"));
        exchange();
        const fractions = fleet.hosts.map(({ context }) => context.limits.getEntitlementFraction(desk));
        expect(fractions[0]).toBeLessThanOrEqual(1 / 3);
        expect(fractions[1]).toBeLessThan(1 / 3);
        expect(fractions[2]).toBeLessThan(1 / 3);
    });
});
