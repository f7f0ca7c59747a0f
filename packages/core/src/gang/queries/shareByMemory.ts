import type { GangCandidate, GangShare } from "../model/gangShare.js";

/**
 * The fewest candidates in the given order whose free memory holds the prompt, with shares as even as the
 * memory allows. `undefined` if there is too little memory.
 */
export function shareByMemory(candidates: readonly GangCandidate[], needed: number): readonly GangShare[] | undefined {
    const chosen: GangCandidate[] = [];
    let free = 0;
    for (const candidate of candidates) {
        if (free >= needed) {
            break;
        }
        if (candidate.freeTokens > 0) {
            chosen.push(candidate);
            free += candidate.freeTokens;
        }
    }
    if (free < needed) {
        return undefined;
    }
    const level = computeShareLevel(chosen.map(candidate => candidate.freeTokens), needed);
    return chosen.map(candidate => ({ candidate, tokens: Math.ceil(Math.min(candidate.freeTokens, level)) }));
}

/** Largest share such that the shares, each cut at its limit, add up to `needed`. */
function computeShareLevel(limits: readonly number[], needed: number): number {
    const sorted = [...limits].sort((a, b) => a - b);
    let remaining = needed;
    for (const [position, limit] of sorted.entries()) {
        const even = remaining / (sorted.length - position);
        if (even <= limit) {
            return even;
        }
        remaining -= limit;
    }
    return Infinity;
}
