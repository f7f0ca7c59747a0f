/** Rendezvous hashing: every host that knows the same candidates ranks them in the same order for a key. */
import createXxhash from "xxhash-wasm";

const xxhash = await createXxhash();

/** Computes a 32-bit hash of a text, from 0 to 2^32 - 1. */
export const computeHash = (text: string): number => xxhash.h32(text);

/**
 * Ranks the candidates for a key. The loss of a candidate changes the first choice only of keys that ranked it first.
 */
export function rankByRendezvous<T extends string>(key: string, candidates: readonly T[]): T[] {
    return candidates
        .map(candidate => ({ candidate, weight: computeHash(`${key}/${candidate}`) }))
        .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
        .map(entry => entry.candidate);
}
