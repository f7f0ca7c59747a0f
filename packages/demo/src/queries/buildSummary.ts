/** Summarizes the history of a load run: time to first token by length class, outcomes, and failures. */
import { type LengthClass, lengthClasses } from "@currantrill/core";
import type { Ledger } from "@currantrill/protocol";
import { build } from "hdr-histogram-js";
import type { LoadRecord } from "../model/loadRecord.js";

const PERCENTILES = [50, 95, 99] as const;

/** Lines to print, and descriptions of the failures. */
export interface LoadSummary {
    readonly lines: readonly string[];
    readonly failures: readonly string[];
}

/** Summarizes a history. Calls that were executed more than once are found in the ledger of the service. */
export function buildSummary(records: readonly LoadRecord[], ledger: Ledger): LoadSummary {
    return {
        lines: [
            "class     prompts    p50 ms    p95 ms    p99 ms   (time to first token)",
            ...lengthClasses.map(lengthClass => formatLengthClass(records, lengthClass)),
            ...listOutcomes(records),
        ],
        failures: [...listFailedRequests(records), ...listRepeatedExecutions(ledger)],
    };
}

function formatLengthClass(records: readonly LoadRecord[], lengthClass: LengthClass): string {
    const histogram = build();
    const prompts = records.filter(record => record.lengthClass === lengthClass);
    for (const { firstTokenMs, calledMs } of prompts) {
        if (firstTokenMs !== undefined) {
            histogram.recordValue(Math.round(firstTokenMs - calledMs));
        }
    }
    const values = PERCENTILES.map(percentile => String(histogram.getValueAtPercentile(percentile)).padStart(10));
    return `${lengthClass.padEnd(8)}${String(prompts.length).padStart(9)}${values.join("")}`;
}

function listOutcomes(records: readonly LoadRecord[]): string[] {
    const counts = new Map<string, number>();
    for (const { what, outcome } of records) {
        const key = `${what} ${outcome}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].sort().map(([key, count]) => `${key}: ${count}`);
}

/**
 * Describes the requests that failed. Without faults, every prompt is answered completely or refused, and every call has
 * an outcome.
 */
const listFailedRequests = (records: readonly LoadRecord[]): string[] =>
    records.filter(({ outcome }) => outcome === "incomplete" || outcome === "broken")
        .map(record => `${record.what} ${record.requestId} to ${record.host}: ${record.outcome}: ${record.detail}`);

/** Describes the idempotency keys that the service executed more than once. */
function listRepeatedExecutions(ledger: Ledger): string[] {
    const keys = ledger.entries.map(entry => entry.idempotencyKey ?? "").filter(key => key !== "");
    return [...new Set(keys)]
        .map(key => ({ key, count: keys.filter(other => other === key).length }))
        .filter(({ count }) => count > 1)
        .map(({ key, count }) => `the call with key ${key} was executed ${count} times`);
}
