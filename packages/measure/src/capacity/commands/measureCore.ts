/** Time that the pure functions of the control plane take at growing sizes. */
import {
    createMembership,
    emptyFlood,
    emptyShareState,
    listConnections,
    listWatchers,
    type MemberInfo,
    mergeFacts,
    mergeHostList,
    updateShares,
} from "@currantrill/core";
import { toEndpointId, toFailureDomainId, toHostId, toIncarnationId, type VersionedFact } from "@currantrill/protocol";

export interface CoreTime {
    readonly name: string;
    readonly size: number;
    readonly microseconds: number;
}

const ROUNDS = 50;

/** Median time of an operation in microseconds. */
function measureMedian(run: (round: number) => unknown): number {
    const times = Array.from({ length: ROUNDS }, (_unused, round) => {
        const startedAtMs = performance.now();
        run(round);
        return (performance.now() - startedAtMs) * 1_000;
    });
    return times.sort((a, b) => a - b)[ROUNDS / 2] ?? 0;
}

const buildFacts = (count: number, sequence: number): VersionedFact[] =>
    Array.from({ length: count }, (_unused, index) => ({
        key: `endpoint/e${index}`,
        origin: toHostId(`h${index % 57}`),
        incarnation: toIncarnationId(`h${index % 57}`),
        sequence,
        fact: {
            kind: "endpoint",
            endpoint: toEndpointId(`e${index}`),
            reportSequence: sequence,
            queuedPrefillTokens: 0,
            runningRequests: 0,
            slots: 16,
            memoryUsedTokens: 0,
            memoryTotalTokens: 0,
            models: [],
            withdrawn: false,
            reachable: true,
            ageMs: 0,
        },
    }));

const buildMember = (index: number): MemberInfo => ({
    host: toHostId(`h${index}`),
    incarnation: toIncarnationId(`h${index}`),
    failureDomain: toFailureDomainId(`d${index % 6}`),
    peerAddress: "",
    leaving: false,
});

const buildFleet = (count: number): MemberInfo[] =>
    Array.from({ length: count }, (_unused, index) => buildMember(index));

/** Measures the operations whose cost grows with the fleet. */
export function measureCore(): CoreTime[] {
    const endpoints = [100, 400, 780].flatMap(size => {
        const { flood } = mergeFacts(emptyFlood, toHostId("x"), buildFacts(size, 1), 0);
        const hosts = buildFleet(57).map(info => info.host);
        const ids = buildFacts(Math.ceil(size / 6), 1).map(fact => toEndpointId(fact.key));
        return [
            {
                name: "merge a batch of 20 facts, endpoints",
                size,
                microseconds: measureMedian(round => mergeFacts(flood, toHostId("x"), buildFacts(20, round + 2), 0)),
            },
            {
                name: "choose the watchers of a domain, endpoints",
                size,
                microseconds: measureMedian(() => ids.map(id => listWatchers(id, hosts))),
            },
        ];
    });
    const fleets = [6, 48, 340].map(size => {
        const fleet = buildFleet(size);
        const membership = mergeHostList(createMembership(buildMember(0), 0), fleet, 0);
        return {
            name: "choose the connections, hosts",
            size,
            microseconds: measureMedian(() => listConnections(membership, 0)),
        };
    });
    const workspaces = [10, 100, 930].map(size => {
        const scopes = Array.from({ length: 62 }, (_unused, index) => ({
            scope: `s${index}`,
            hosts: 1,
            demand: index,
            isReachable: true,
        }));
        return {
            name: "split entitlements, workspaces above them",
            size,
            microseconds: measureMedian(() =>
                Array.from({ length: size }, () => updateShares(emptyShareState, "s0", scopes, 0))
            ),
        };
    });
    return [...endpoints, ...fleets, ...workspaces];
}
