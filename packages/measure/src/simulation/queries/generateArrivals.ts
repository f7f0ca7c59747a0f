import { getLengthClass, LENGTH_LIMITS, type LengthClass } from "@currantrill/core";
import { toRequestId, toWorkspaceId } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ENGINE, type Scenario, TIMEOUT_MS } from "../../model/scenario.js";
import type { Arrival } from "../model/arrival.js";

/** Share of requests and range of prompt tokens of each class. One prompt in fifty is over 100,000 tokens. */
const MIX: Record<LengthClass, { share: number; least: number; most: number; }> = {
    short: { share: 0.7, least: 1_000, most: LENGTH_LIMITS.short },
    medium: { share: 0.2, least: LENGTH_LIMITS.short + 1, most: LENGTH_LIMITS.medium },
    long: { share: 0.08, least: LENGTH_LIMITS.medium + 1, most: LENGTH_LIMITS.long },
    huge: { share: 0.02, least: LENGTH_LIMITS.long + 1, most: 1_000_000 },
};
const CLASS_ORDER = ["huge", "long", "medium", "short"] as const;

const LEAST_OUTPUT_TOKENS = 32;
const MOST_OUTPUT_TOKENS = 256;
const SHARED_PREFIX_SHARE = 0.25;
const DOCUMENTS_PER_CLASS = 4;
const INTERACTIVE_SHARE = 0.25;
/** Share of the traffic of the three large workspaces; the others have equal parts of the rest. */
const LARGE_WORKSPACES = [0.3, 0.2, 0.15];

type Draw = () => number;

/** Arrivals of a scenario: a Poisson process, the same for all policies of the same seed. */
export function generateArrivals(scenario: Scenario): Arrival[] {
    const random = xoroshiro128plus(scenario.seed);
    const draw: Draw = () => uniformFloat64(random);
    const perMs = computeArrivalRate(scenario);
    const arrivals: Arrival[] = [];
    for (let atMs = drawGap(draw, perMs); atMs < scenario.durationMs; atMs += drawGap(draw, perMs)) {
        arrivals.push(generateArrival(scenario, draw, atMs, arrivals.length));
    }
    const isLong = (arrival: Arrival): boolean => arrival.lengthClass === "long" || arrival.lengthClass === "huge";
    return scenario.withLong ? arrivals : arrivals.filter(arrival => !isLong(arrival));
}

const drawGap = (draw: Draw, perMs: number): number => -Math.log(1 - draw()) / perMs;

const drawBetween = (draw: Draw, least: number, most: number): number => Math.round(least * (most / least) ** draw());

function generateArrival(scenario: Scenario, draw: Draw, atMs: number, position: number): Arrival {
    const classDraw = draw();
    let upTo = 0;
    const drawnClass = CLASS_ORDER.find(name => classDraw < (upTo += MIX[name].share)) ?? "short";
    const promptTokens = drawBetween(draw, MIX[drawnClass].least, MIX[drawnClass].most);
    const outputTokens = drawBetween(draw, LEAST_OUTPUT_TOKENS, MOST_OUTPUT_TOKENS);
    const lengthClass = getLengthClass(promptTokens);
    const workspace = sampleWorkspace(scenario, draw);
    const isShared = draw() < SHARED_PREFIX_SHARE;
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
        // All prompts of a class on one document share the tokens of the shortest one.
        prefixTokens: isShared ? MIX[drawnClass].least : 0,
    };
}

function sampleWorkspace(scenario: Scenario, draw: Draw): number {
    let remaining = draw();
    for (const [position, share] of LARGE_WORKSPACES.entries()) {
        if (remaining < share) {
            return position;
        }
        remaining -= share;
    }
    const others = scenario.user.workspaces - LARGE_WORKSPACES.length;
    return LARGE_WORKSPACES.length + Math.floor(draw() * others);
}

/** Requests per millisecond that ask for the scenario's part of the fleet's capacity. */
function computeArrivalRate(scenario: Scenario): number {
    const tokensPerMs = scenario.user.engines * ENGINE.prefillTokensPerSecond / 1_000;
    const decodeTokens = computeLogMean(LEAST_OUTPUT_TOKENS, MOST_OUTPUT_TOKENS)
        * ENGINE.decodeMsPerStream * ENGINE.prefillTokensPerSecond / 1_000;
    const promptTokens = CLASS_ORDER
        .map(name => MIX[name].share * computeLogMean(MIX[name].least, MIX[name].most))
        .reduce((sum, tokens) => sum + tokens, 0);
    return scenario.load * tokensPerMs / (promptTokens + decodeTokens);
}

/** Mean of the log-uniform distribution that `drawBetween` follows. */
const computeLogMean = (least: number, most: number): number => (most - least) / Math.log(most / least);
