import type { FleetResult } from "../commands/runFleet.js";

/** Normal quantile of a two-sided 95% interval. */
const Z95 = 1.96;

/** Renders the earned share with its 95% interval, and for each kind the part in time and times to the first event. */
export function renderComparison(
    workload: string,
    results: readonly (readonly [string, readonly FleetResult[]])[],
): string {
    const lines = results.map(([name, runs]) => {
        const shares = runs.map(result => result.share);
        const mean = getMean(shares);
        const deviation = Math.sqrt(
            getMean(shares.map(share => (share - mean) ** 2)) * shares.length / Math.max(1, shares.length - 1),
        );
        const interval = Z95 * deviation / Math.sqrt(shares.length);
        const kinds = (runs[0]?.kinds ?? []).map((kind, index) => {
            const all = runs.flatMap(result => result.kinds[index] ?? []);
            const asked = all.reduce((sum, each) => sum + each.asked, 0);
            const inTime = all.reduce((sum, each) => sum + each.inTime, 0);
            const times = all.flatMap(each => each.firstEventMs).sort((a, b) => a - b);
            const quantile = (share: number): string => (times[Math.floor(times.length * share)] ?? 0).toFixed(0);
            return `${kind.name} ${(100 * inTime / asked).toFixed(1)}% (p50 ${quantile(0.5)}, p95 ${
                quantile(0.95)
            } ms)`;
        });
        return `${mean.toFixed(4)} +- ${interval.toFixed(4)}  ${kinds.join("  ")}  ${name}`;
    });
    return [`${workload}: earned share, in time by kind, first event`, ...lines].join("\n");
}

const getMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
