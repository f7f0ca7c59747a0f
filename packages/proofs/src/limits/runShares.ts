/** Simulates hosts that divide a workspace's entitlement by demand, with delayed gossip, partitions and restarts. */
import { emptyShareState, getShare, type ShareState, updateShares } from "@currantrill/core";
import fc from "fast-check";
import { createHistoryRecorder, type History } from "../model/history.js";
import type { SafeguardOverrides } from "../model/proof.js";
import { createRandom, type Random } from "../simulation/random.js";

export const SHARE_HOST_COUNT = 4;
/** Length of a run, in steps of one second. */
const SECONDS = 240;
/** Longest time until a published demand reaches another host, in seconds. */
const MAX_DELAY_S = 18;
/** Time without a heartbeat after which a host counts as unreachable, in seconds. */
const SUSPICION_S = 15;
/** Time until the host list drops a host that has ended, in seconds. */
const HOST_LIST_LAG_S = 10;

/** Times are in seconds. The names of the fields are printed with a counterexample. */
export interface ShareSchedule {
    readonly seed: number;
    readonly demands: readonly { readonly atS: number; readonly host: number; readonly demand: number; }[];
    /** Network partitions, which separate the hosts with an index below `split` from the others. */
    readonly cuts: readonly { readonly atS: number; readonly durationS: number; readonly split: number; }[];
    readonly restarts: readonly { readonly atS: number; readonly durationS: number; readonly host: number; }[];
}

const atS = fc.integer({ min: 30, max: 160 });
const durationS = fc.integer({ min: 1, max: 90 });
const host = fc.integer({ min: 0, max: SHARE_HOST_COUNT - 1 });

const anySchedule: fc.Arbitrary<ShareSchedule> = fc.record({
    seed: fc.integer(),
    demands: fc.array(fc.record({ atS, host, demand: fc.constantFrom(0, 1, 10, 100, 1_000) }), { maxLength: 8 }),
    cuts: fc.array(fc.record({ atS, durationS, split: fc.integer({ min: 1, max: SHARE_HOST_COUNT - 1 }) }), {
        maxLength: 2,
    }),
    restarts: fc.array(fc.record({ atS, durationS, host }), { maxLength: 2 }),
});

/**
 * Partitions or restarts, not both: a host that starts in a partition does not know how much the hosts on the other
 * side use, and after an exchange interval the shares no longer limit what it uses.
 */
export const shareSchedules: fc.Arbitrary<ShareSchedule> = anySchedule.map(schedule => ({
    ...schedule,
    restarts: schedule.cuts.length > 0 ? [] : schedule.restarts,
}));

interface ShareNode {
    state: ShareState;
    startedAtS: number;
    /** Of each host: the second for which this host knows its demand, and the second of its last heartbeat. */
    readonly knownDemandS: number[];
    readonly lastHeardS: number[];
}

interface ShareWorld {
    readonly schedule: ShareSchedule;
    readonly random: Random;
    readonly nodes: (ShareNode | undefined)[];
    /** Demand of each host in each second. */
    readonly demandHistory: number[][];
    /** Second in which each host last ended. */
    readonly endedS: number[];
    readonly overrides: SafeguardOverrides;
}

/** Runs one schedule in steps of one second and returns its history. */
export function runShares(schedule: ShareSchedule, overrides: SafeguardOverrides): History {
    let second = 0;
    const recorder = createHistoryRecorder(() => second * 1_000);
    const world: ShareWorld = {
        schedule,
        random: createRandom(schedule.seed),
        nodes: Array.from({ length: SHARE_HOST_COUNT }, () => createNode(-MAX_DELAY_S * 2)),
        demandHistory: Array.from({ length: SHARE_HOST_COUNT }, () => []),
        endedS: Array.from({ length: SHARE_HOST_COUNT }, () => -Infinity),
        overrides,
    };
    for (; second < SECONDS; second += 1) {
        restartHosts(world, second);
        world.demandHistory.forEach((series, index) => series.push(getDemand(schedule, index, second)));
        const isPartitioned = isActive(schedule.cuts, second);
        recorder.record({ type: isPartitioned ? "disconnected" : "reconnected", host: undefined, from: "peers" });
        world.nodes.forEach((node, localIndex) => {
            const fraction = node === undefined ? 0 : updateNode(world, node, localIndex, second);
            recorder.record({ type: "share", host: `host-${localIndex}`, fraction });
        });
    }
    recorder.record({ type: "finished" });
    return recorder.events;
}

const createNode = (startedAtS: number): ShareNode => ({
    state: emptyShareState,
    startedAtS,
    knownDemandS: Array.from({ length: SHARE_HOST_COUNT }, () => -1),
    lastHeardS: Array.from({ length: SHARE_HOST_COUNT }, () => startedAtS),
});

function isActive(events: readonly { readonly atS: number; readonly durationS: number; }[], second: number): boolean {
    return events.some(event => event.atS <= second && second < event.atS + event.durationS);
}

function restartHosts({ schedule, nodes, endedS }: ShareWorld, second: number): void {
    for (let index = 0; index < SHARE_HOST_COUNT; index += 1) {
        const isDown = isActive(schedule.restarts.filter(restart => restart.host === index), second);
        if (isDown && nodes[index] !== undefined) {
            nodes[index] = undefined;
            endedS[index] = second;
        }
        else if (!isDown) {
            nodes[index] ??= createNode(second);
        }
    }
}

function getDemand({ demands }: ShareSchedule, host: number, second: number): number {
    const past = demands.filter(entry => entry.host === host && entry.atS <= second);
    return past.sort((a, b) => a.atS - b.atS).at(-1)?.demand ?? 1;
}

function updateNode(world: ShareWorld, node: ShareNode, localIndex: number, second: number): number {
    const { schedule, nodes, demandHistory, endedS, random } = world;
    const partitions = schedule.cuts.filter(partition => isActive([partition], second));
    const listed = nodes.flatMap((peer, index) =>
        peer !== undefined || second - (endedS[index] ?? 0) < HOST_LIST_LAG_S ? [index] : []
    );
    const scopes = listed.map(index => {
        const isConnected = nodes[index] !== undefined
            && partitions.every(partition => (index < partition.split) === (localIndex < partition.split));
        if (isConnected) {
            const delayS = index === localIndex ? 0 : random.sample(0, MAX_DELAY_S);
            node.knownDemandS[index] = Math.max(node.knownDemandS[index] ?? 0, second - delayS);
            node.lastHeardS[index] = second;
        }
        const demand = demandHistory[index]?.[Math.max(0, node.knownDemandS[index] ?? 0)] ?? 1;
        const isReachable = index === localIndex || second - (node.lastHeardS[index] ?? 0) <= SUSPICION_S;
        return { scope: `host-${index}`, hosts: 1, demand, isReachable };
    });
    const visibleScopes = world.overrides.dropUnreachable ? scopes.filter(scope => scope.isReachable) : scopes;
    node.state = updateShares(node.state, `host-${localIndex}`, visibleScopes, second * 1_000);
    return getShare(node.state, visibleScopes.length, node.startedAtS * 1_000, second * 1_000);
}
