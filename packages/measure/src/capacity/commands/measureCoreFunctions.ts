/** Measures the run time of the pure functions of the control plane at increasing sizes. */
import {
    createMembership,
    emptyGossipState,
    emptyShareState,
    listConnections,
    listMonitors,
    type MemberInfo,
    mergeFacts,
    mergeHostList,
    updateShares,
} from "@currantrill/core";
import { toEndpointId, toFailureDomainId, toHostId, toIncarnationId, type VersionedFact } from "@currantrill/protocol";

/** Median run time of one function at one size. */
export interface FunctionTime {
    readonly name: string;
    /** Number of the objects that the name ends with, such as endpoints. */
    readonly size: number;
    readonly microseconds: number;
}

const ITERATIONS = 50;

/** Median run time in microseconds. */
function measureMedian(run: (iteration: number) => unknown): number {
    const times = Array.from({ length: ITERATIONS }, (_unused, iteration) => {
        const startedAtMs = performance.now();
        run(iteration);
        return (performance.now() - startedAtMs) * 1_000;
    });
    return times.sort((a, b) => a - b)[ITERATIONS / 2] ?? 0;
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

/**
 * Measures the functions whose cost grows with the fleet. In the names, which are printed, a fact is a versioned gossip
 * entry, and a watcher is a host that monitors an endpoint.
 */
export function measureCoreFunctions(): FunctionTime[] {
    const endpointTimes = [100, 400, 780].flatMap(size => {
        const { gossipState: initialState } = mergeFacts(emptyGossipState, toHostId("x"), buildFacts(size, 1), 0);
        const hosts = buildFleet(57).map(info => info.host);
        const ids = buildFacts(Math.ceil(size / 6), 1).map(fact => toEndpointId(fact.key));
        return [
            {
                name: "merge a batch of 20 facts, endpoints",
                size,
                microseconds: measureMedian(iteration =>
                    mergeFacts(initialState, toHostId("x"), buildFacts(20, iteration + 2), 0)
                ),
            },
            {
                name: "choose the watchers of a domain, endpoints",
                size,
                microseconds: measureMedian(() => ids.map(id => listMonitors(id, hosts))),
            },
        ];
    });
    const hostTimes = [6, 48, 340].map(size => {
        const fleet = buildFleet(size);
        const membership = mergeHostList(createMembership(buildMember(0), 0), fleet, 0);
        return {
            name: "choose the connections, hosts",
            size,
            microseconds: measureMedian(() => listConnections(membership, 0)),
        };
    });
    const workspaceTimes = [10, 100, 930].map(size => {
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
    return [...endpointTimes, ...hostTimes, ...workspaceTimes];
}
