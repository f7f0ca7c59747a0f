/** Seeded random numbers for decisions. A function that uses them takes a state and returns the next one. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** State of the generator. Never advanced in place: `generateFractions` works on a clone. */
export type RandomState = RandomGenerator;

export function createRandomState(seed: number): RandomState {
    return xoroshiro128plus(seed);
}

/** Generates `count` random numbers from 0 (included) to 1 (excluded), and the state to use next. */
export function generateFractions(state: RandomState, count: number): { values: number[]; next: RandomState; } {
    const next = state.clone();
    return { values: Array.from({ length: count }, () => uniformFloat64(next)), next };
}
