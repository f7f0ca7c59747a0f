import { type LengthClass, lengthClasses } from "@currantrill/core";
import type { Percentiles, RunSummary } from "../model/runSummary.js";
import type { Scenario } from "../model/scenario.js";
import type { RunResult } from "../simulation/commands/runScenario.js";
import type { RequestOutcome, RequestRecord } from "../simulation/model/arrival.js";

/** Summarizes the run of a scenario, relative to a run of the same arrivals without long requests. */
export function computeSummary(scenario: Scenario, result: RunResult, withoutLong: RunResult): RunSummary {
    const { records } = result;
    const firstTokenByClass = Object.fromEntries(
        lengthClasses.map(name => [name, computePercentiles(listFirstTokenTimes(records, name))]),
    ) as Record<LengthClass, Percentiles>;
    const reference = computePercentiles(listFirstTokenTimes(withoutLong.records, "short"));
    const paired = computePercentiles(listPairedRatios(records, withoutLong.records));
    return {
        user: scenario.user.name,
        policy: scenario.policy,
        load: scenario.load,
        fault: scenario.fault,
        seed: scenario.seed,
        requests: records.length,
        firstToken: firstTokenByClass,
        slowdown: {
            p50: firstTokenByClass.short.p50 / reference.p50,
            p95: firstTokenByClass.short.p95 / reference.p95,
        },
        pairedSlowdown: { p50: paired.p50, p95: paired.p95 },
        refused: countOutcomes(records, "refused"),
        late: countOutcomes(records, "late"),
        unanswered: countOutcomes(records, "unanswered") + countOutcomes(records, "pending"),
        utilisation: result.utilisation,
    };
}

const countOutcomes = (records: readonly RequestRecord[], outcome: RequestOutcome): number =>
    records.filter(record => record.outcome === outcome).length;

/**
 * Time to first token in milliseconds; undefined for a refused request. An admitted request without a first token
 * counts with its timeout, because otherwise leaving requests unanswered would improve the result of a policy.
 */
function getFirstTokenMs({ arrival, firstTokenAtMs, outcome }: RequestRecord): number | undefined {
    if (outcome === "refused") {
        return undefined;
    }
    return (firstTokenAtMs ?? arrival.deadlineMs) - arrival.atMs;
}

function listFirstTokenTimes(records: readonly RequestRecord[], lengthClass: LengthClass): number[] {
    return records
        .filter(record => record.arrival.lengthClass === lengthClass)
        .map(getFirstTokenMs)
        .filter(value => value !== undefined);
}

/** Ratios of the times to first token of each short request, with and without long requests. */
function listPairedRatios(records: readonly RequestRecord[], withoutLong: readonly RequestRecord[]): number[] {
    const reference = new Map(withoutLong.map(record => [record.arrival.request, getFirstTokenMs(record)]));
    return records
        .filter(record => record.arrival.lengthClass === "short")
        .map(record => (getFirstTokenMs(record) ?? NaN) / (reference.get(record.arrival.request) ?? NaN))
        .filter(ratio => !Number.isNaN(ratio));
}

/** Computes percentiles by the nearest-rank method. */
export function computePercentiles(values: readonly number[]): Percentiles {
    const sorted = [...values].sort((a, b) => a - b);
    const getPercentile = (fraction: number): number =>
        sorted[Math.max(0, Math.ceil(fraction * sorted.length) - 1)] ?? NaN;
    return { count: sorted.length, p50: getPercentile(0.5), p95: getPercentile(0.95), p99: getPercentile(0.99) };
}
