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
    recordAttemptEnd,
    recordAttemptStart,
    recordFirstToken,
} from "../../src/index.js";
import { createView } from "../createView.js";

const buildReport = (observedAtMs: number, queuedPrefillTokens: number): LoadReport => ({
    sequence: 1,
    observedAtMs,
    queuedPrefillTokens,
    runningRequests: 1,
    memoryUsedTokens: 1_000,
});
const buildAttempt = (attempt: string, sentAtMs: number, prefillTokens: number) => ({
    attempt: toAttemptId(attempt),
    sentAtMs,
    lengthClass: "short" as const,
    prefillTokens,
    memoryTokens: prefillTokens,
});

/** The engines of these views prefill 10 tokens per millisecond. */
describe("estimateQueuedPrefill guards against counting attempts of this host twice or not at all", () => {
    const reported = applyReport(createView("a"), buildReport(1_000, 5_000));
    const cases = [
        { name: "the reported queue drains", view: reported, now: 1_100, expected: 4_000 },
        { name: "never below zero", view: reported, now: 9_000, expected: 0 },
        {
            name: "attempt sent after the report",
            view: recordAttemptStart(reported, buildAttempt("x", 1_100, 2_000)),
            now: 1_100,
            expected: 6_000,
        },
        {
            name: "attempt sent before the report, which includes it",
            view: applyReport(
                recordAttemptStart(createView("a"), buildAttempt("x", 900, 2_000)),
                buildReport(1_000, 5_000),
            ),
            now: 1_000,
            expected: 5_000,
        },
        {
            name: "attempt whose first token has arrived",
            view: recordFirstToken(
                recordAttemptStart(createView("a"), buildAttempt("x", 100, 2_000)),
                toAttemptId("x"),
            ),
            now: 100,
            expected: 0,
        },
        {
            name: "an older report is ignored",
            view: applyReport(reported, buildReport(500, 9_999)),
            now: 1_000,
            expected: 5_000,
        },
    ];
    it.each(cases)("$name", ({ view, now, expected }) => {
        expect(estimateQueuedPrefill(view, now)).toBe(expected);
    });

    it("frees the memory at the end of an attempt", () => {
        const sent = recordAttemptStart(createView("a"), buildAttempt("x", 1, 2_000));
        expect(sent.freeMemoryTokens).toBe(createView("a").freeMemoryTokens - 2_000);
        expect(recordAttemptEnd(sent, toAttemptId("x")).freeMemoryTokens).toBe(createView("a").freeMemoryTokens);
    });
});

describe("applyCacheEvents guards against hits from an index with missing events", () => {
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
        { name: "a gap drops all entries", events: [stored(4, "r")], hits: [], needsResync: true },
    ];
    it.each(cases)("$name", ({ events, hits, needsResync }) => {
        const result = applyCacheEvents(first, endpoint, events, 0);
        expect(result.needsResync).toBe(needsResync);
        expect(["p", "q", "r"].filter(hash => findPrefixHits(result.index, [hash], 0).has(endpoint))).toEqual(hits);
    });

    it("findPrefixHits expects fewer tokens of an older entry", () => {
        expect(findPrefixHits(first, ["p"], PREFIX_HALF_LIFE_MS).get(endpoint)).toBe(500);
    });
});
