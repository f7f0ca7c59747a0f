import type { SizeSample } from "../model/sample.js";

/**
 * Largest growth of the messages per host, as a fraction of the growth of the number of hosts. A cost per host that
 * grows in proportion to the fleet exceeds it.
 */
const MAX_RELATIVE_GROWTH = 0.8;

/**
 * Checks orderings of the samples that hold on any machine. Returns the texts of those that do not hold. A relay in the
 * texts is a gateway host, which connects its failure domain to others.
 */
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
            last.before.mean.messages < MAX_RELATIVE_GROWTH * growth * first.before.mean.messages,
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
