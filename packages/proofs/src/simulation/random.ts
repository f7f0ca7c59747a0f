import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded pseudo-random numbers, used for delays. The same seed gives the same run. */
export interface Random {
    /** An integer from `min` to `max`, both included. */
    readonly sample: (min: number, max: number) => number;
}

export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return { sample: (min, max) => uniformInt(generator, min, max) };
}
