import { getLengthClass, LENGTH_LIMITS, type LengthClass } from "@currantrill/core";
import { toRequestId, toWorkspaceId } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ENGINE, type Scenario, TIMEOUT_MS } from "../../model/scenario.js";
import type { Arrival } from "../model/arrival.js";

/**
 * Share of requests and range of prompt tokens of each length class. One prompt in fifty is longer than 100,000 tokens.
 */
const LENGTH_MIX: Record<LengthClass, { share: number; minTokens: number; maxTokens: number; }> = {
    short: { share: 0.7, minTokens: 1_000, maxTokens: LENGTH_LIMITS.short },
    medium: { share: 0.2, minTokens: LENGTH_LIMITS.short + 1, maxTokens: LENGTH_LIMITS.medium },
    long: { share: 0.08, minTokens: LENGTH_LIMITS.medium + 1, maxTokens: LENGTH_LIMITS.long },
    huge: { share: 0.02, minTokens: LENGTH_LIMITS.long + 1, maxTokens: 1_000_000 },
};
/** Order in which random numbers are mapped to classes. */
const CLASS_ORDER = ["huge", "long", "medium", "short"] as const;

const MIN_OUTPUT_TOKENS = 32;
const MAX_OUTPUT_TOKENS = 256;
/** Share of prompts that begin with a document that other prompts use too. */
const SHARED_PREFIX_SHARE = 0.25;
/** Number of shared documents of each workspace and length class. */
const DOCUMENTS_PER_CLASS = 4;
/** Share of requests with the priority "interactive". */
const INTERACTIVE_SHARE = 0.25;
/** Share of the requests of each large workspace; the other workspaces share the rest equally. */
const LARGE_WORKSPACE_SHARES = [0.3, 0.2, 0.15];

/** Generates a uniform random number, at least 0 and less than 1. */
type RandomSource = () => number;

/** Generates the arrivals of a scenario as a Poisson process. They depend on the seed but not on the policy. */
export function generateArrivals(scenario: Scenario): Arrival[] {
    const random = xoroshiro128plus(scenario.seed);
    const draw: RandomSource = () => uniformFloat64(random);
    const requestsPerMs = computeArrivalRate(scenario);
    const arrivals: Arrival[] = [];
    for (
        let atMs = sampleGapMs(draw, requestsPerMs);
        atMs < scenario.durationMs;
        atMs += sampleGapMs(draw, requestsPerMs)
    ) {
        arrivals.push(generateArrival(scenario, draw, atMs, arrivals.length));
    }
    const isLong = (arrival: Arrival): boolean => arrival.lengthClass === "long" || arrival.lengthClass === "huge";
    return scenario.withLong ? arrivals : arrivals.filter(arrival => !isLong(arrival));
}

/** Samples the time until the next arrival. */
const sampleGapMs = (draw: RandomSource, requestsPerMs: number): number => -Math.log(1 - draw()) / requestsPerMs;

/** Samples an integer from a log-uniform distribution. */
const sampleLogUniform = (draw: RandomSource, min: number, max: number): number =>
    Math.round(min * (max / min) ** draw());

function generateArrival(scenario: Scenario, draw: RandomSource, atMs: number, position: number): Arrival {
    const classFraction = draw();
    let cumulativeShare = 0;
    const sampledClass = CLASS_ORDER.find(name => classFraction < (cumulativeShare += LENGTH_MIX[name].share))
        ?? "short";
    const promptTokens = sampleLogUniform(draw, LENGTH_MIX[sampledClass].minTokens, LENGTH_MIX[sampledClass].maxTokens);
    const outputTokens = sampleLogUniform(draw, MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS);
    const lengthClass = getLengthClass(promptTokens);
    const workspace = sampleWorkspace(scenario, draw);
    const hasSharedPrefix = draw() < SHARED_PREFIX_SHARE;
    const document = Math.floor(draw() * DOCUMENTS_PER_CLASS);
    return {
        request: toRequestId(`r${position}`),
        atMs,
        host: Math.floor(draw() * scenario.user.hosts),
        workspace: toWorkspaceId(`workspace-${workspace}`),
        lengthClass,
        promptTokens,
        outputTokens,
        priority: draw() < INTERACTIVE_SHARE ? "interactive" : "standard",
        deadlineMs: atMs + TIMEOUT_MS[lengthClass],
        prefixHash: `${workspace}/${lengthClass}/${document}`,
        // All prompts of a class with the same document share as many tokens as the shortest prompt has.
        prefixTokens: hasSharedPrefix ? LENGTH_MIX[sampledClass].minTokens : 0,
    };
}

function sampleWorkspace(scenario: Scenario, draw: RandomSource): number {
    let remaining = draw();
    for (const [position, share] of LARGE_WORKSPACE_SHARES.entries()) {
        if (remaining < share) {
            return position;
        }
        remaining -= share;
    }
    const smallWorkspaces = scenario.user.workspaces - LARGE_WORKSPACE_SHARES.length;
    return LARGE_WORKSPACE_SHARES.length + Math.floor(draw() * smallWorkspaces);
}

/** Computes the arrival rate, in requests per millisecond, that offers the load of the scenario to the fleet. */
function computeArrivalRate(scenario: Scenario): number {
    const capacityPerMs = scenario.user.engines * ENGINE.prefillTokensPerSecond / 1_000;
    const meanDecodeTokens = computeLogMean(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS)
        * ENGINE.decodeMsPerStream * ENGINE.prefillTokensPerSecond / 1_000;
    const meanPromptTokens = CLASS_ORDER
        .map(name => LENGTH_MIX[name].share * computeLogMean(LENGTH_MIX[name].minTokens, LENGTH_MIX[name].maxTokens))
        .reduce((sum, tokens) => sum + tokens, 0);
    return scenario.load * capacityPerMs / (meanPromptTokens + meanDecodeTokens);
}

/** Computes the mean of the log-uniform distribution of `sampleLogUniform`. */
const computeLogMean = (min: number, max: number): number => (max - min) / Math.log(max / min);
