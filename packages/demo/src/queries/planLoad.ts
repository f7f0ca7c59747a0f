/** Draws the requests of a load run. The same seed draws the same requests. */
import type { Priority } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PlannedRequest } from "../model/loadRecord.js";

export interface LoadPlanOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly requestsPerSecond: number;
    /** Part of the requests that are service calls. */
    readonly callShare: number;
    /** Part of the service calls that are sent a second time with the same key, to another host. */
    readonly duplicateShare: number;
    readonly maxTokens: number;
}

interface Weighted<T> {
    readonly share: number;
    readonly value: T;
}

type Mix<T> = readonly [Weighted<T>, ...Weighted<T>[]];

/** Prompt lengths in tokens. One prompt in fifty is over 100,000. */
const lengthMix: Mix<readonly [from: number, to: number]> = [
    { share: 0.7, value: [1_000, 4_000] },
    { share: 0.2, value: [4_000, 32_000] },
    { share: 0.08, value: [32_000, 100_000] },
    { share: 0.02, value: [100_001, 1_000_000] },
];

const priorityMix: Mix<Priority> = [
    { share: 0.6, value: "interactive" },
    { share: 0.3, value: "standard" },
    { share: 0.1, value: "batch" },
];

/** Plans open-loop arrivals: the times do not depend on the answers. */
export function planLoad(options: LoadPlanOptions): PlannedRequest[] {
    const random = xoroshiro128plus(options.seed);
    const draw = (): number => uniformFloat64(random);
    const requests: PlannedRequest[] = [];
    for (let atMs = drawGap(draw, options); atMs < options.durationMs; atMs += drawGap(draw, options)) {
        const host = Math.floor(draw() * Number.MAX_SAFE_INTEGER);
        if (draw() < options.callShare) {
            const call = { what: "dispatch", atMs, host, idempotencyKey: `load-${requests.length}` } as const;
            requests.push(call);
            if (draw() < options.duplicateShare) {
                requests.push({ ...call, host: host + 1 });
            }
            continue;
        }
        const [from, to] = chooseWeighted(lengthMix, draw());
        // Lengths are spread evenly on a logarithmic scale.
        const promptTokens = Math.round(from * (to / from) ** draw());
        const priority = chooseWeighted(priorityMix, draw());
        requests.push({ what: "prompt", atMs, host, promptTokens, maxTokens: options.maxTokens, priority });
    }
    return requests;
}

/** Time until the next arrival of a Poisson process, in milliseconds. */
const drawGap = (draw: () => number, options: LoadPlanOptions): number =>
    -Math.log(1 - draw()) * 1_000 / options.requestsPerSecond;

function chooseWeighted<T>([first, ...others]: Mix<T>, value: number): T {
    let chosen = first;
    let sum = first.share;
    for (const entry of others) {
        if (value >= sum) {
            chosen = entry;
        }
        sum += entry.share;
    }
    return chosen.value;
}
