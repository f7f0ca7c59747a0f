import type { FleetResult } from "../commands/runFleet.js";

/** Quantile of the normal distribution for a two-sided 95% confidence interval. */
const NORMAL_QUANTILE_95 = 1.96;

/**
 * Renders the mean earned share of each variant with its 95% confidence interval over the seeds, and for each kind the
 * percentage of requests in time and percentiles of the time to the first event.
 */
export function renderComparison(
    workload: string,
    results: readonly (readonly [string, readonly FleetResult[]])[],
): string {
    const lines = results.map(([name, runs]) => {
        const shares = runs.map(result => result.earnedShare);
        const mean = computeMean(shares);
        const deviation = Math.sqrt(
            computeMean(shares.map(share => (share - mean) ** 2)) * shares.length / Math.max(1, shares.length - 1),
        );
        const interval = NORMAL_QUANTILE_95 * deviation / Math.sqrt(shares.length);
        const kinds = (runs[0]?.kinds ?? []).map((kind, index) => {
            const kindResults = runs.flatMap(result => result.kinds[index] ?? []);
            const requestCount = kindResults.reduce((sum, each) => sum + each.requestCount, 0);
            const inTimeCount = kindResults.reduce((sum, each) => sum + each.inTimeCount, 0);
            const firstEventTimes = kindResults.flatMap(each => each.firstEventMs).sort((a, b) => a - b);
            const getQuantile = (fraction: number): string =>
                (firstEventTimes[Math.floor(firstEventTimes.length * fraction)] ?? 0).toFixed(0);
            return `${kind.name} ${(100 * inTimeCount / requestCount).toFixed(1)}% (p50 ${getQuantile(0.5)}, p95 ${
                getQuantile(0.95)
            } ms)`;
        });
        return `${mean.toFixed(4)} +- ${interval.toFixed(4)}  ${kinds.join("  ")}  ${name}`;
    });
    return [`${workload}: earned share, in time by kind, first event`, ...lines].join("\n");
}

const computeMean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
