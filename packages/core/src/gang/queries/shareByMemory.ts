import type { GangCandidate, GangShare } from "../model/gangShare.js";

/**
 * Chooses the fewest candidates in the given order whose free memory holds the prompt, with shares as even as their
 * memory allows. `undefined` if there is too little memory.
 */
export function shareByMemory(candidates: readonly GangCandidate[], needed: number): readonly GangShare[] | undefined {
    const chosen: GangCandidate[] = [];
    let totalFreeTokens = 0;
    for (const candidate of candidates) {
        if (totalFreeTokens >= needed) {
            break;
        }
        if (candidate.freeTokens > 0) {
            chosen.push(candidate);
            totalFreeTokens += candidate.freeTokens;
        }
    }
    if (totalFreeTokens < needed) {
        return undefined;
    }
    const shareCap = computeShareCap(chosen.map(candidate => candidate.freeTokens), needed);
    return chosen.map(candidate => ({ candidate, tokens: Math.ceil(Math.min(candidate.freeTokens, shareCap)) }));
}

/** Computes the cap for which the shares, each being the smaller of cap and limit, add up to `needed`. */
function computeShareCap(limits: readonly number[], needed: number): number {
    const sorted = [...limits].sort((a, b) => a - b);
    let remaining = needed;
    for (const [position, limit] of sorted.entries()) {
        const evenShare = remaining / (sorted.length - position);
        if (evenShare <= limit) {
            return evenShare;
        }
        remaining -= limit;
    }
    return Infinity;
}
