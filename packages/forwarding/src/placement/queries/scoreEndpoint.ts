/** What placing a prompt, or a part of one, on an endpoint costs all requests together. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import type { EndpointLoad } from "../model/endpointLoad.js";
import type { PlacementWeights } from "../model/placementWeights.js";
import {
    estimateLongestReadMs,
    estimatePassMs,
    estimateReadMs,
    estimateReadPerPassMs,
    getFreeTokens,
    listWriters,
} from "./estimateEngine.js";
import { estimateBacklogMs, type Unread } from "./replayReading.js";

/** A prompt that is to be placed. */
export interface PromptNeed {
    readonly promptTokens: number;
    readonly answerTokens: number;
    /** Time left until the first event is late. */
    readonly targetMs: number;
    readonly targetPauseMs: number;
}

export interface PlacementView {
    readonly weights: PlacementWeights;
    readonly engine: EngineProfile;
    readonly ownDomain: FailureDomainId;
    readonly nowMs: number;
}

/** A view with what is left to read on each endpoint. */
export interface ScoreView extends PlacementView {
    readonly unread: ReadonlyMap<EndpointLoad, readonly Unread[]>;
}

export interface EndpointScore {
    readonly load: EndpointLoad;
    readonly cost: number;
    /** Expected time until the prompt or the part has been read, and the first event where it is written here. */
    readonly firstEventMs: number;
    /** Expected time until the prompts that are known to be there have been read. */
    readonly backlogMs: number;
    readonly freeTokens: number;
}

/** Weight of a request's lateness, by the size of its prompt. */
const weighPrompt = ({ tokensPerWeight }: PlacementWeights, promptTokens: number): number =>
    1 + promptTokens / tokensPerWeight;

/** 0 while a value is well below its limit, 1 when it is missed. */
function estimateMiss({ safeShare, missShare }: PlacementWeights, value: number, limit: number): number {
    const share = value / Math.max(1, limit);
    return Math.min(1, Math.max(0, (share - safeShare) / (missShare - safeShare)));
}

/** Scores an endpoint for a prompt that is read in `parts` even parts. `isPart` is a part whose answer is written elsewhere. */
export function scoreEndpoint(
    view: ScoreView,
    load: EndpointLoad,
    need: PromptNeed,
    parts: number,
    isPart: boolean,
): EndpointScore {
    const { engine, nowMs, weights } = view;
    const weight = weighPrompt(weights, need.promptTokens);
    const writers = listWriters(load);
    const readMs = estimateReadMs(engine, need.promptTokens, parts) * load.pace;
    const readTokens = need.promptTokens / parts;
    const unread = view.unread.get(load) ?? [];
    const allUnreadMs = estimateBacklogMs(unread);
    const isJoint = parts > 1;
    // A part is read ahead of what is there, once the pass has ended.
    const backlogMs = isJoint ? 0 : allUnreadMs;
    const passMs = estimatePassMs(engine, load, writers);
    const readInPassMs = Math.min(allUnreadMs, estimateLongestReadMs(engine));
    const waitMs = backlogMs + (writers.length > 0 ? (passMs + (isJoint ? readInPassMs : 0)) / 2 : 0);
    // An engine without writers gives the first token as soon as the prompt has been read.
    const ownPassMs = isPart || writers.length === 0 ? 0 : passMs + engine.stepsPerPass * engine.stepPerWriterMs;
    const firstEventMs = waitMs + readMs + ownPassMs;
    const readPerPassMs = estimateReadPerPassMs(engine, readTokens, readMs);
    const pauseMs = passMs + Math.min(readPerPassMs + allUnreadMs, estimateLongestReadMs(engine));
    // Prompts that are still being read will be writing when this one is read.
    const disturbed = load.bookings
        .filter(booking => !booking.isPart)
        .reduce(
            (sum, { readTokens: tokens, parts: count, targetPauseMs }) =>
                sum + weighPrompt(weights, tokens * count) * estimateMiss(weights, pauseMs, targetPauseMs),
            0,
        );
    const delayed = isJoint ? estimateDelayOfReaders(weights, unread, readMs, nowMs) : 0;
    const freeTokens = getFreeTokens(engine, load);
    const neededTokens = readTokens + (isPart ? 0 : need.answerTokens);
    const isBusy = load.bookings.length > 0;
    const cost = weights.lateCost * weight * estimateMiss(weights, firstEventMs, need.targetMs)
        + weights.lateCost * weight * (isPart ? 0 : estimateMiss(weights, ownPassMs, need.targetPauseMs))
        + weights.lateCost * (disturbed + delayed)
        + (freeTokens < neededTokens ? weights.evictionCost * weight : 0)
        + (load.bookings.length >= load.slots ? weights.fullSlotsCost * weight : 0)
        + (load.isSilent ? weights.silentCost * weight : 0)
        + weights.silentDomainCost * load.domainSilence * weight
        + weights.costPerFailure * load.failures * weight
        + (load.failureDomain === view.ownDomain ? 0 : weights.otherDomainCost)
        + weights.biasCost * load.bias
        + weights.waitCost * firstEventMs / Math.max(1, need.targetMs)
        + (isBusy || readMs >= weights.longReadMs ? 0 : weights.idleCost);
    return { load, cost, firstEventMs, backlogMs, freeTokens };
}

/** Additional risk of the prompts on an endpoint that have not been read, if a part is read ahead of them. */
function estimateDelayOfReaders(
    weights: PlacementWeights,
    unread: readonly Unread[],
    readMs: number,
    nowMs: number,
): number {
    let endMs = nowMs;
    let risk = 0;
    for (const { booking, leftMs } of unread) {
        endMs += leftMs;
        const firstEventMs = endMs - booking.startedAtMs;
        const before = estimateMiss(weights, firstEventMs, booking.targetMs);
        const after = estimateMiss(weights, firstEventMs + readMs, booking.targetMs);
        risk += weighPrompt(weights, booking.readTokens * booking.parts) * (after - before);
    }
    return risk;
}
