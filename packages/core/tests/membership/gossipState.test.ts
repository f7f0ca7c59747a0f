import { type EndpointDigest, type HostId, toEndpointId, toHostId, toIncarnationId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    emptyGossipState,
    type GossipState,
    isNewerFact,
    listNeighbours,
    mergeFacts,
    openQueue,
    publishFact,
    shouldPublishDigest,
    takeBatch,
} from "../../src/index.js";

const digest: EndpointDigest = {
    kind: "endpoint",
    endpoint: toEndpointId("engine-1"),
    reportSequence: 1,
    queuedPrefillTokens: 0,
    runningRequests: 0,
    slots: 16,
    memoryUsedTokens: 0,
    memoryTotalTokens: 400_000,
    models: ["m@1"],
    withdrawn: false,
    reachable: true,
    ageMs: 100,
};
const origin = (host: string) => ({ host: toHostId(host), incarnation: toIncarnationId(`${host}-1`) });
const stop = (lendEpoch: number) =>
    ({ kind: "stop", endpoint: digest.endpoint, lendEpoch, reason: "maintenance" }) as const;

function simulateGossip(count: number): { rounds: number; copies: number; reached: number; } {
    const hosts = Array.from({ length: count }, (_unused, index) => toHostId(`host-${index}`));
    const gossipStates = new Map<HostId, GossipState>(
        hosts.map(host => [host, listNeighbours(hosts, host).reduce(openQueue, emptyGossipState)]),
    );
    const first = hosts[0]!;
    gossipStates.set(
        first,
        publishFact(gossipStates.get(first)!, origin(first), digest, { wallMs: 1, now: 0 }).gossipState,
    );
    let copies = 0;
    let rounds = 0;
    const countReached = () => [...gossipStates.values()].filter(state => state.facts.size === 1).length;
    while (countReached() < count && rounds < 100) {
        rounds += 1;
        const batches = hosts.flatMap(host =>
            listNeighbours(hosts, host).map(peer => {
                const batch = takeBatch(gossipStates.get(host)!, peer, rounds);
                gossipStates.set(host, batch.gossipState);
                return { host, peer, facts: batch.facts };
            })
        );
        for (const { host, peer, facts } of batches.filter(transfer => transfer.facts.length > 0)) {
            copies += facts.length;
            gossipStates.set(peer, mergeFacts(gossipStates.get(peer)!, host, facts, rounds).gossipState);
        }
    }
    return { rounds, copies, reached: countReached() };
}

describe("gossip guards against facts that do not arrive and against unlimited copies", () => {
    it.each([
        { count: 2, maxRounds: 1 },
        { count: 6, maxRounds: 2 },
        { count: 57, maxRounds: 8 },
        { count: 100, maxRounds: 11 },
    ])("reaches $count hosts in at most $maxRounds hops", ({ count, maxRounds }) => {
        const result = simulateGossip(count);
        expect(result.reached).toBe(count);
        expect(result.rounds).toBeLessThanOrEqual(maxRounds);
        expect(result.copies).toBeLessThanOrEqual(4 * count);
    });
});

describe("isNewerFact guards against an old fact that replaces a new one", () => {
    const held = { ...origin("a"), origin: toHostId("a"), key: "stop/engine-1", sequence: 10, fact: stop(2) };
    it.each([
        { name: "higher sequence", candidate: { ...held, sequence: 11 }, newer: true },
        { name: "same fact again", candidate: held, newer: false },
        { name: "lower sequence", candidate: { ...held, sequence: 9 }, newer: false },
        {
            name: "lower lend epoch, higher sequence",
            candidate: { ...held, sequence: 99, fact: stop(1) },
            newer: false,
        },
        { name: "higher lend epoch, lower sequence", candidate: { ...held, sequence: 1, fact: stop(3) }, newer: true },
    ])("$name", ({ candidate, newer }) => {
        expect(isNewerFact(candidate, held)).toBe(newer);
    });

    it("a restarted host with a clock that is behind supersedes its earlier facts", () => {
        const before = publishFact(emptyGossipState, origin("a"), digest, { wallMs: 1_000, now: 0 }).gossipState;
        const after = publishFact(before, origin("a"), { ...digest, reportSequence: 2 }, { wallMs: 5, now: 0 });
        expect(after.accepted[0]?.sequence).toBe(1_001);
    });
});

describe("takeBatch guards against an age that omits the time spent on this host", () => {
    it("adds the time since receipt to the age of a digest", () => {
        const published = publishFact(openQueue(emptyGossipState, toHostId("b")), origin("a"), digest, {
            wallMs: 1,
            now: 1_000,
        });
        const batch = takeBatch(published.gossipState, toHostId("b"), 1_400);
        expect(batch.facts[0]?.fact).toMatchObject({ ageMs: 500 });
        expect(takeBatch(batch.gossipState, toHostId("b"), 1_500).facts).toEqual([]);
    });

    it("does not send a fact back to the peer that sent it", () => {
        const opened = ["b", "c"].map(toHostId).reduce(openQueue, emptyGossipState);
        const fact = { ...origin("a"), origin: toHostId("a"), key: "endpoint/engine-1", sequence: 1, fact: digest };
        const merged = mergeFacts(opened, toHostId("b"), [fact], 0).gossipState;
        expect(takeBatch(merged, toHostId("b"), 0).facts).toHaveLength(0);
        expect(takeBatch(merged, toHostId("c"), 0).facts).toHaveLength(1);
        const duplicate = mergeFacts(merged, toHostId("c"), [fact], 0).gossipState;
        expect(takeBatch(duplicate, toHostId("c"), 0).facts).toHaveLength(0);
    });
});

describe("shouldPublishDigest guards against digests without relevant changes", () => {
    it.each([
        { name: "first", last: undefined, change: {}, elapsedMs: 0, expected: true },
        { name: "no change", last: digest, change: {}, elapsedMs: 2_000, expected: false },
        { name: "refresh", last: digest, change: {}, elapsedMs: 5_000, expected: true },
        { name: "withdrawal without delay", last: digest, change: { withdrawn: true }, elapsedMs: 0, expected: true },
        {
            name: "load change before the minimum interval",
            last: digest,
            change: { queuedPrefillTokens: 9_000 },
            elapsedMs: 500,
            expected: false,
        },
        { name: "load change", last: digest, change: { queuedPrefillTokens: 9_000 }, elapsedMs: 2_000, expected: true },
        {
            name: "small load change",
            last: digest,
            change: { queuedPrefillTokens: 3_000 },
            elapsedMs: 2_000,
            expected: false,
        },
    ])("$name", ({ last, change, elapsedMs, expected }) => {
        expect(shouldPublishDigest(last, { ...digest, ...change }, elapsedMs)).toBe(expected);
    });
});
