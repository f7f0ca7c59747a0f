/** Chooses the endpoint of a prompt, and further ones that read parts of it. */
import type { EndpointLoad } from "../model/endpointLoad.js";
import { replayReading } from "./replayReading.js";
import {
    type EndpointScore,
    type PlacementView,
    type PromptNeed,
    scoreEndpoint,
    type ScoreView,
} from "./scoreEndpoint.js";

export interface PlacedPart {
    readonly load: EndpointLoad;
    /** Memory to reserve there; 0 where the first endpoint holds the whole prompt. */
    readonly reserveTokens: number;
}

export interface Placement {
    readonly first: EndpointLoad;
    readonly parts: readonly PlacedPart[];
    /** Expected time to the first event. */
    readonly firstEventMs: number;
    /** Expected time until the prompts on the first endpoint have been read. */
    readonly backlogMs: number;
    readonly cost: number;
}

/** Numbers of parts that are weighed. An endpoint takes at most 16 helpers. */
const PART_COUNTS = [1, 2, 3, 4, 6, 8, 12, 16];
/** Reserved beyond the part: memory is given out in blocks. */
const RESERVE_MARGIN_TOKENS = 64;

/** Chooses the cheapest placement, or `undefined` if no endpoint can hold the prompt. */
export function choosePlacement(
    view: PlacementView,
    loads: readonly EndpointLoad[],
    need: PromptNeed,
): Placement | undefined {
    const scoreView = { ...view, unread: new Map(loads.map(load => [load, replayReading(load, view.nowMs)])) };
    const readMs = need.promptTokens / view.engine.readTokensPerMs;
    const counts = readMs < view.weights.minReadToSplitMs ? [1] : PART_COUNTS.filter(count => count <= loads.length);
    return counts
        .map(count => planParts(scoreView, loads, need, count))
        .filter(placement => placement !== undefined)
        .reduce<Placement | undefined>(
            (best, placement) => best === undefined || placement.cost < best.cost ? placement : best,
            undefined,
        );
}

/** Scores an endpoint for a part of a prompt that is written at `first`. */
function scorePart(
    view: ScoreView,
    first: EndpointLoad,
    load: EndpointLoad,
    need: PromptNeed,
    count: number,
): EndpointScore {
    const score = scoreEndpoint(view, load, need, count, true);
    return load.failureDomain === first.failureDomain
        ? score
        : { ...score, cost: score.cost + view.weights.crossPartCost };
}

const compareScores = (a: EndpointScore, b: EndpointScore): number =>
    a.cost - b.cost || (a.load.id < b.load.id ? -1 : 1);

function planParts(
    view: ScoreView,
    loads: readonly EndpointLoad[],
    need: PromptNeed,
    count: number,
): Placement | undefined {
    const neededTokens = need.promptTokens + need.answerTokens;
    if (count === 1 && neededTokens > view.engine.memoryTokens) {
        return undefined;
    }
    const firsts = loads.map(load => scoreEndpoint(view, load, need, count, false)).sort(compareScores);
    const first = firsts[0];
    if (first === undefined) {
        return undefined;
    }
    if (count === 1) {
        const { load, firstEventMs, backlogMs, cost } = first;
        return { first: load, parts: [], firstEventMs, backlogMs, cost };
    }
    const helpers = loads
        .filter(load => load !== first.load && !load.isSilent)
        .map(load => scorePart(view, first.load, load, need, count))
        .sort(compareScores)
        .slice(0, count - 1);
    if (helpers.length < count - 1) {
        return undefined;
    }
    // With one endpoint's memory enough, the parts only read for it.
    const partTokens = first.freeTokens >= neededTokens
        ? 0
        : Math.ceil(need.promptTokens / count) + RESERVE_MARGIN_TOKENS;
    const isFitting = partTokens === 0
        || helpers.every(helper => helper.freeTokens >= partTokens)
            && first.freeTokens >= partTokens + need.answerTokens;
    if (!isFitting) {
        return undefined;
    }
    return {
        first: first.load,
        parts: helpers.map(helper => ({ load: helper.load, reserveTokens: partTokens })),
        firstEventMs: Math.max(first.firstEventMs, ...helpers.map(helper => helper.firstEventMs)),
        backlogMs: first.backlogMs,
        cost: helpers.reduce((sum, helper) => sum + helper.cost + view.weights.partCost, first.cost),
    };
}
