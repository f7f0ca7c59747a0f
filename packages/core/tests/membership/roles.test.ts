import { toEndpointId, toFailureDomainId, toHostId, toIncarnationId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    createMembership,
    getMemberState,
    listConnections,
    listGateways,
    listMonitors,
    listPollers,
    type MemberInfo,
    type Membership,
    mergeHostList,
    recordHeartbeat,
    shouldSendAcrossDomains,
    SUSPICION_TIMEOUT_MS,
} from "../../src/index.js";

const info = (host: string, domain = "a", run = 1): MemberInfo => ({
    host: toHostId(host),
    incarnation: toIncarnationId(`${host}-${run}`),
    failureDomain: toFailureDomainId(domain),
    peerAddress: "127.0.0.1:1",
    leaving: false,
});
const fleet = (domains: readonly string[], perDomain: number): MemberInfo[] =>
    domains.flatMap(domain =>
        Array.from({ length: perDomain }, (_unused, index) => info(`${domain}-${index}`, domain))
    );
const buildMembership = (infos: readonly MemberInfo[], self = 0): Membership =>
    mergeHostList(createMembership(infos[self]!, 0), infos, 0);
const getStateOf = (membership: Membership, host: string, now: number) => {
    const member = membership.members.get(toHostId(host));
    return member === undefined ? "absent" : getMemberState(membership, member, now);
};

describe("membership guards against trust in a host list that lags", () => {
    const both = buildMembership([info("x"), info("y")]);
    const late = SUSPICION_TIMEOUT_MS + 1;
    it.each([
        { name: "listed", membership: both, now: 0, expected: "live" },
        { name: "listed, without a recent heartbeat", membership: both, now: late, expected: "suspect" },
        {
            name: "heartbeat received again",
            membership: recordHeartbeat(both, info("y"), late),
            now: late,
            expected: "live",
        },
        {
            name: "not yet listed, recent heartbeat",
            membership: mergeHostList(both, [info("x")], 10),
            now: 10,
            expected: "live",
        },
        {
            name: "unlisted, without a recent heartbeat",
            membership: mergeHostList(both, [info("x")], late),
            now: late,
            expected: "absent",
        },
        {
            name: "old incarnation listed, heartbeat of the new one",
            membership: mergeHostList(recordHeartbeat(both, info("y", "a", 2), 10), [info("x"), info("y")], 20),
            now: 20,
            expected: "live",
        },
        {
            name: "leaving",
            membership: recordHeartbeat(both, { ...info("y"), leaving: true }, 10),
            now: 10,
            expected: "leaving",
        },
    ])("$name", ({ membership, now, expected }) => {
        expect(getStateOf(membership, "y", now)).toBe(expected);
    });
});

describe("roles guard against a full mesh and against needless reassignment", () => {
    const infos = fleet(["a", "b", "c", "d", "e", "f"], 57);
    it("a host keeps 4 connections and a gateway host 10 more, whatever the size of the fleet", () => {
        const membership = buildMembership(infos);
        const gateways = new Set(listGateways(membership, toFailureDomainId("a"), 0));
        const counts = infos.slice(0, 57).map(({ host }) =>
            listConnections({ ...membership, self: host }, 0).length - (gateways.has(host) ? 10 : 0)
        );
        expect(new Set(counts)).toEqual(new Set([4]));
        expect(listPollers(membership, 0)).toHaveLength(2);
    });

    it("the loss of a host reassigns only the endpoints that it monitored", () => {
        const hosts = infos.slice(0, 57).map(({ host }) => host);
        const rest = hosts.slice(1);
        const endpoints = Array.from({ length: 130 }, (_unused, index) => toEndpointId(`engine-${index}`));
        const moved = endpoints.filter(id => listMonitors(id, hosts).join(",") !== listMonitors(id, rest).join(","));
        const monitored = endpoints.filter(id => listMonitors(id, hosts).includes(hosts[0]!));
        expect(moved).toEqual(monitored);
    });
});

describe("cross-domain forwarding guards against load of a third domain on the links between domains", () => {
    const membership = buildMembership(fleet(["a", "b"], 2));
    const build = (originHost: string, fact: Parameters<typeof shouldSendAcrossDomains>[1]["fact"]) => ({
        key: "",
        origin: toHostId(originHost),
        incarnation: toIncarnationId("1"),
        sequence: 1,
        fact,
    });
    const stop = { kind: "stop", endpoint: toEndpointId("e"), lendEpoch: 1, reason: "" } as const;
    const demand = { kind: "demand", scope: toHostId("a-0"), isDomainSum: false, demand: {} } as const;
    it.each([
        { name: "stop of the local domain", fact: build("a-0", stop), expected: true },
        { name: "stop of a third domain", fact: build("b-0", stop), expected: true },
        { name: "demand of a host", fact: build("a-0", demand), expected: false },
        { name: "demand of the local domain", fact: build("a-0", { ...demand, isDomainSum: true }), expected: true },
        { name: "demand of a remote domain", fact: build("b-0", { ...demand, isDomainSum: true }), expected: false },
    ])("$name", ({ fact, expected }) => {
        expect(shouldSendAcrossDomains(membership, fact, undefined, 0)).toBe(expected);
    });
});
