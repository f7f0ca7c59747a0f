import type { EndpointDigest, EndpointId, EngineReport } from "@currantrill/protocol";

/** Creates the load digest of a load report. `ageMs` is the time since the report was requested, in milliseconds. */
export function createDigest(endpoint: EndpointId, report: EngineReport, ageMs: number): EndpointDigest {
    return {
        kind: "endpoint",
        endpoint,
        reportSequence: report.sequence,
        queuedPrefillTokens: report.queued_prefill_tokens,
        runningRequests: report.running_requests,
        slots: report.slots,
        memoryUsedTokens: report.memory_used_tokens,
        memoryTotalTokens: report.memory_total_tokens,
        models: report.models.map(model => `${model.name}@${model.version}`),
        withdrawn: report.lending === "withdrawn",
        reachable: true,
        ageMs: Math.round(ageMs),
    };
}

/**
 * Creates the load digest of an endpoint whose reports cannot be fetched: the last known one, marked as unreachable.
 */
export function createUnreachableDigest(endpoint: EndpointId, last: EndpointDigest | undefined): EndpointDigest {
    const baseDigest = last ?? {
        kind: "endpoint",
        endpoint,
        reportSequence: 0,
        queuedPrefillTokens: 0,
        runningRequests: 0,
        slots: 0,
        memoryUsedTokens: 0,
        memoryTotalTokens: 0,
        models: [],
        withdrawn: false,
        ageMs: 0,
    };
    return { ...baseDigest, reachable: false };
}
