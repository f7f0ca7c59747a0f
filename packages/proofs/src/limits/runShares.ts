/** Runs hosts that split one workspace's entitlement by demand, with late facts, partitions and restarts. */
import { emptyShareState, getShare, type ShareState, updateShares } from "@currantrill/core";
import fc from "fast-check";
import { createHistoryRecorder, type History } from "../model/history.js";
import type { Switches } from "../model/proof.js";
import { createRandom, type Random } from "../simulation/random.js";

export const SHARE_HOSTS = 4;
const SECONDS = 240;
/** Longest time until a published demand reaches another host, in seconds. */
const MAX_DELAY_S = 18;
/** Time without a heartbeat after which a host counts as unreachable, in seconds. */
const SUSPICION_S = 15;
/** Time after which the host list drops a host that has ended, in seconds. */
const LIST_LAG_S = 10;

export interface ShareSchedule {
    readonly seed: number;
    readonly demands: readonly { readonly atS: number; readonly host: number; readonly demand: number; }[];
    /** Separates the hosts below `split` from the others. */
    readonly cuts: readonly { readonly atS: number; readonly durationS: number; readonly split: number; }[];
    readonly restarts: readonly { readonly atS: number; readonly durationS: number; readonly host: number; }[];
}

const atS = fc.integer({ min: 30, max: 160 });
const durationS = fc.integer({ min: 1, max: 90 });
const host = fc.integer({ min: 0, max: SHARE_HOSTS - 1 });

const anySchedule: fc.Arbitrary<ShareSchedule> = fc.record({
    seed: fc.integer(),
    demands: fc.array(fc.record({ atS, host, demand: fc.constantFrom(0, 1, 10, 100, 1_000) }), { maxLength: 8 }),
    cuts: fc.array(fc.record({ atS, durationS, split: fc.integer({ min: 1, max: SHARE_HOSTS - 1 }) }), {
        maxLength: 2,
    }),
    restarts: fc.array(fc.record({ atS, durationS, host }), { maxLength: 2 }),
});

/**
 * Partitions or restarts, not both: a host that starts inside a partition does not know what the other side uses, and the
 * shares do not bound what it takes after an exchange interval.
 */
export const shareSchedules: fc.Arbitrary<ShareSchedule> = anySchedule.map(schedule => ({
    ...schedule,
    restarts: schedule.cuts.length > 0 ? [] : schedule.restarts,
}));

interface ShareNode {
    state: ShareState;
    startedAtS: number;
    /** Second whose demand this host knows of each other host, and second of its last heartbeat. */
    readonly knownS: number[];
    readonly heardS: number[];
}

interface ShareWorld {
    readonly schedule: ShareSchedule;
    readonly random: Random;
    readonly nodes: (ShareNode | undefined)[];
    /** Demand of each host by second. */
    readonly published: number[][];
    readonly endedS: number[];
    readonly switches: Switches;
}

export function runShares(schedule: ShareSchedule, switches: Switches): History {
    let second = 0;
    const recorder = createHistoryRecorder(() => second * 1_000);
    const world: ShareWorld = {
        schedule,
        random: createRandom(schedule.seed),
        nodes: Array.from({ length: SHARE_HOSTS }, () => createNode(-MAX_DELAY_S * 2)),
        published: Array.from({ length: SHARE_HOSTS }, () => []),
        endedS: Array.from({ length: SHARE_HOSTS }, () => -Infinity),
        switches,
    };
    for (; second < SECONDS; second += 1) {
        restartHosts(world, second);
        world.published.forEach((series, index) => series.push(getDemand(schedule, index, second)));
        const isCut = isActive(schedule.cuts, second);
        recorder.record({ type: isCut ? "cut" : "healed", host: undefined, from: "peers" });
        world.nodes.forEach((node, own) => {
            const fraction = node === undefined ? 0 : updateNode(world, node, own, second);
            recorder.record({ type: "share", host: `host-${own}`, fraction });
        });
    }
    recorder.record({ type: "finished" });
    return recorder.events;
}

const createNode = (startedAtS: number): ShareNode => ({
    state: emptyShareState,
    startedAtS,
    knownS: Array.from({ length: SHARE_HOSTS }, () => -1),
    heardS: Array.from({ length: SHARE_HOSTS }, () => startedAtS),
});

function isActive(events: readonly { readonly atS: number; readonly durationS: number; }[], second: number): boolean {
    return events.some(event => event.atS <= second && second < event.atS + event.durationS);
}

function restartHosts({ schedule, nodes, endedS }: ShareWorld, second: number): void {
    for (let index = 0; index < SHARE_HOSTS; index += 1) {
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

function updateNode(world: ShareWorld, node: ShareNode, own: number, second: number): number {
    const { schedule, nodes, published, endedS, random } = world;
    const cuts = schedule.cuts.filter(cut => isActive([cut], second));
    const listed = nodes.flatMap((other, index) =>
        other !== undefined || second - (endedS[index] ?? 0) < LIST_LAG_S ? [index] : []
    );
    const scopes = listed.map(index => {
        const isConnected = nodes[index] !== undefined
            && cuts.every(cut => (index < cut.split) === (own < cut.split));
        if (isConnected) {
            const delayS = index === own ? 0 : random.sample(0, MAX_DELAY_S);
            node.knownS[index] = Math.max(node.knownS[index] ?? 0, second - delayS);
            node.heardS[index] = second;
        }
        const demand = published[index]?.[Math.max(0, node.knownS[index] ?? 0)] ?? 1;
        const isReachable = index === own || second - (node.heardS[index] ?? 0) <= SUSPICION_S;
        return { scope: `host-${index}`, hosts: 1, demand, isReachable };
    });
    const shown = world.switches.dropUnreachable ? scopes.filter(scope => scope.isReachable) : scopes;
    node.state = updateShares(node.state, `host-${own}`, shown, second * 1_000);
    return getShare(node.state, shown.length, node.startedAtS * 1_000, second * 1_000);
}
