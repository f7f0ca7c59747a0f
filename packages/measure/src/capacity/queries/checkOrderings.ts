import type { SizeSample } from "../model/sample.js";

/** Growth of the hosts from which a cost per host that grows as fast as the fleet is seen. */
const SUBLINEAR_PART = 0.8;

/** Orderings that hold on any machine. Returns the ones that do not hold. */
export function checkOrderings(samples: readonly SizeSample[]): string[] {
    const first = samples[0];
    const last = samples.at(-1);
    if (first === undefined || last === undefined) {
        return ["no size was measured"];
    }
    const growth = last.hosts / first.hosts;
    const checks: readonly [string, boolean][] = [
        [
            "messages per host grow more slowly than the number of hosts",
            last.before.mean.messages < SUBLINEAR_PART * growth * first.before.mean.messages,
        ],
        [
            "more endpoints cost more bytes",
            samples.every(({ before, after }) => after.mean.bytes > before.mean.bytes),
        ],
        [
            "a relay sends and receives at least as much as the mean host",
            samples.every(({ after }) => after.largest.bytes >= after.mean.bytes),
        ],
    ];
    return checks.filter(([, holds]) => !holds).map(([name]) => name);
}
