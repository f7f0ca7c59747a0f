import { type LengthClass, lengthClasses } from "@currantrill/core";
import type { Percentiles, RunSummary } from "../model/runSummary.js";
import type { Scenario } from "../model/scenario.js";
import type { RunResult } from "../simulation/commands/runScenario.js";
import type { RequestOutcome, RequestRecord } from "../simulation/model/arrival.js";

/** Compares the run of a scenario with the run of the same arrivals without long requests. */
export function collectSummary(scenario: Scenario, result: RunResult, withoutLong: RunResult): RunSummary {
    const { records } = result;
    const byClass = Object.fromEntries(
        lengthClasses.map(name => [name, computePercentiles(listFirstTokens(records, name))]),
    ) as Record<LengthClass, Percentiles>;
    const reference = computePercentiles(listFirstTokens(withoutLong.records, "short"));
    const paired = computePercentiles(listPairedRatios(records, withoutLong.records));
    return {
        user: scenario.user.name,
        policy: scenario.policy,
        load: scenario.load,
        fault: scenario.fault,
        seed: scenario.seed,
        requests: records.length,
        firstToken: byClass,
        slowdown: { p50: byClass.short.p50 / reference.p50, p95: byClass.short.p95 / reference.p95 },
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
 * counts with its timeout, or a policy would look better for the requests that it leaves unanswered.
 */
function readFirstToken({ arrival, firstTokenAtMs, outcome }: RequestRecord): number | undefined {
    if (outcome === "refused") {
        return undefined;
    }
    return (firstTokenAtMs ?? arrival.deadlineMs) - arrival.atMs;
}

function listFirstTokens(records: readonly RequestRecord[], lengthClass: LengthClass): number[] {
    return records
        .filter(record => record.arrival.lengthClass === lengthClass)
        .map(readFirstToken)
        .filter(value => value !== undefined);
}

function listPairedRatios(records: readonly RequestRecord[], withoutLong: readonly RequestRecord[]): number[] {
    const reference = new Map(withoutLong.map(record => [record.arrival.request, readFirstToken(record)]));
    return records
        .filter(record => record.arrival.lengthClass === "short")
        .map(record => (readFirstToken(record) ?? NaN) / (reference.get(record.arrival.request) ?? NaN))
        .filter(ratio => !Number.isNaN(ratio));
}

/** Nearest-rank percentiles. */
export function computePercentiles(values: readonly number[]): Percentiles {
    const sorted = [...values].sort((a, b) => a - b);
    const read = (part: number): number => sorted[Math.max(0, Math.ceil(part * sorted.length) - 1)] ?? NaN;
    return { count: sorted.length, p50: read(0.5), p95: read(0.95), p99: read(0.99) };
}
