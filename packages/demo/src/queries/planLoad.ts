/** Plans the requests of a load run at random. The same seed gives the same requests. */
import type { Priority } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PlannedRequest } from "../model/loadRecord.js";

export interface LoadPlanOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly requestsPerSecond: number;
    /** Fraction of the requests that are service calls (0 to 1). */
    readonly callFraction: number;
    /** Fraction of the service calls that are sent a second time with the same key, to another host (0 to 1). */
    readonly duplicateFraction: number;
    /** Length of each answer. */
    readonly maxTokens: number;
}

/** A value and its probability; the probabilities of a distribution add up to 1. */
interface Weighted<T> {
    readonly share: number;
    readonly value: T;
}

type Distribution<T> = readonly [Weighted<T>, ...Weighted<T>[]];

/** Ranges of prompt lengths in tokens. One prompt in fifty is longer than 100,000 tokens. */
const promptLengthDistribution: Distribution<readonly [from: number, to: number]> = [
    { share: 0.7, value: [1_000, 4_000] },
    { share: 0.2, value: [4_000, 32_000] },
    { share: 0.08, value: [32_000, 100_000] },
    { share: 0.02, value: [100_001, 1_000_000] },
];

const priorityDistribution: Distribution<Priority> = [
    { share: 0.6, value: "interactive" },
    { share: 0.3, value: "standard" },
    { share: 0.1, value: "batch" },
];

/** Plans open-loop arrivals: the times at which requests are sent do not depend on the answers. */
export function planLoad(options: LoadPlanOptions): PlannedRequest[] {
    const random = xoroshiro128plus(options.seed);
    const sampleUniform = (): number => uniformFloat64(random);
    const requests: PlannedRequest[] = [];
    for (
        let atMs = sampleInterarrivalMs(sampleUniform, options);
        atMs < options.durationMs;
        atMs += sampleInterarrivalMs(sampleUniform, options)
    ) {
        const host = Math.floor(sampleUniform() * Number.MAX_SAFE_INTEGER);
        if (sampleUniform() < options.callFraction) {
            const call = { what: "dispatch", atMs, host, idempotencyKey: `load-${requests.length}` } as const;
            requests.push(call);
            if (sampleUniform() < options.duplicateFraction) {
                requests.push({ ...call, host: host + 1 });
            }
            continue;
        }
        const [from, to] = chooseWeighted(promptLengthDistribution, sampleUniform());
        // The lengths in a range are distributed uniformly on a logarithmic scale.
        const promptTokens = Math.round(from * (to / from) ** sampleUniform());
        const priority = chooseWeighted(priorityDistribution, sampleUniform());
        requests.push({ what: "prompt", atMs, host, promptTokens, maxTokens: options.maxTokens, priority });
    }
    return requests;
}

/** Samples the time until the next arrival of a Poisson process, in milliseconds. */
const sampleInterarrivalMs = (sampleUniform: () => number, options: LoadPlanOptions): number =>
    -Math.log(1 - sampleUniform()) * 1_000 / options.requestsPerSecond;

/** Chooses from a distribution with a uniform random number between 0 and 1. */
function chooseWeighted<T>([first, ...alternatives]: Distribution<T>, value: number): T {
    let chosen = first;
    let sum = first.share;
    for (const entry of alternatives) {
        if (value >= sum) {
            chosen = entry;
        }
        sum += entry.share;
    }
    return chosen.value;
}
