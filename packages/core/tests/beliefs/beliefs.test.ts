import { type CacheEvent, toAttemptId, toEndpointId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    applyCacheEvents,
    applyReport,
    emptyPrefixIndex,
    estimateQueuedPrefill,
    findPrefixHits,
    type LoadReport,
    PREFIX_HALF_LIFE_MS,
    recordEnd,
    recordFirstToken,
    recordSend,
} from "../../src/index.js";
import { createView } from "../createView.js";

const report = (observedAtMs: number, queuedPrefillTokens: number): LoadReport => ({
    sequence: 1,
    observedAtMs,
    queuedPrefillTokens,
    runningRequests: 1,
    memoryUsedTokens: 1_000,
});
const work = (attempt: string, sentAtMs: number, prefillTokens: number) => ({
    attempt: toAttemptId(attempt),
    sentAtMs,
    lengthClass: "short" as const,
    prefillTokens,
    memoryTokens: prefillTokens,
});

/** Engines of these views prefill 10 tokens in a millisecond. */
describe("estimateQueuedPrefill guards against counting own work twice or not at all", () => {
    const reported = applyReport(createView("a"), report(1_000, 5_000));
    const cases = [
        { name: "the report drains", view: reported, now: 1_100, expected: 4_000 },
        { name: "never below zero", view: reported, now: 9_000, expected: 0 },
        { name: "work sent since", view: recordSend(reported, work("x", 1_100, 2_000)), now: 1_100, expected: 6_000 },
        {
            name: "work sent before is in the report",
            view: applyReport(recordSend(createView("a"), work("x", 900, 2_000)), report(1_000, 5_000)),
            now: 1_000,
            expected: 5_000,
        },
        {
            name: "work whose first token has arrived",
            view: recordFirstToken(recordSend(createView("a"), work("x", 100, 2_000)), toAttemptId("x")),
            now: 100,
            expected: 0,
        },
        {
            name: "an older report is ignored",
            view: applyReport(reported, report(500, 9_999)),
            now: 1_000,
            expected: 5_000,
        },
    ];
    it.each(cases)("$name", ({ view, now, expected }) => {
        expect(estimateQueuedPrefill(view, now)).toBe(expected);
    });

    it("gives memory back at the end", () => {
        const sent = recordSend(createView("a"), work("x", 1, 2_000));
        expect(sent.freeMemoryTokens).toBe(createView("a").freeMemoryTokens - 2_000);
        expect(recordEnd(sent, toAttemptId("x")).freeMemoryTokens).toBe(createView("a").freeMemoryTokens);
    });
});

describe("applyCacheEvents guards against trusting an index with missing events", () => {
    const endpoint = toEndpointId("a");
    const stored = (sequence: number, prefix_hash: string): CacheEvent => ({
        sequence,
        action: "stored",
        prefix_hash,
        tokens: 1_000,
    });
    const first = applyCacheEvents(emptyPrefixIndex, endpoint, [stored(1, "p"), stored(2, "q")], 0).index;
    const cases = [
        { name: "in order", events: [stored(3, "r")], hits: ["p", "q", "r"], needsResync: false },
        { name: "repeated events", events: [stored(2, "q")], hits: ["p", "q"], needsResync: false },
        {
            name: "evicted",
            events: [{ ...stored(3, "p"), action: "evicted" as const }],
            hits: ["q"],
            needsResync: false,
        },
        { name: "a gap drops all", events: [stored(4, "r")], hits: [], needsResync: true },
    ];
    it.each(cases)("$name", ({ events, hits, needsResync }) => {
        const result = applyCacheEvents(first, endpoint, events, 0);
        expect(result.needsResync).toBe(needsResync);
        expect(["p", "q", "r"].filter(hash => findPrefixHits(result.index, [hash], 0).has(endpoint))).toEqual(hits);
    });

    it("trusts an entry less as it ages", () => {
        expect(findPrefixHits(first, ["p"], PREFIX_HALF_LIFE_MS).get(endpoint)).toBe(500);
    });
});
