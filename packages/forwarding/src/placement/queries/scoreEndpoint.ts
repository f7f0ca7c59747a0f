/** What placing a prompt, or a part of one, on an endpoint costs all requests together. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import type { EndpointLoad } from "../model/endpointLoad.js";
import {
    estimateBacklogMs,
    estimateLongestReadMs,
    estimatePassMs,
    estimateReadMs,
    estimateReadPerPassMs,
    getFreeTokens,
    listWriters,
} from "./estimateEngine.js";

/** A prompt that is to be placed. */
export interface PromptNeed {
    readonly promptTokens: number;
    readonly answerTokens: number;
    /** Time left until the first event is late. */
    readonly targetMs: number;
    readonly targetPauseMs: number;
}

export interface PlacementView {
    readonly engine: EngineProfile;
    readonly ownDomain: FailureDomainId;
    readonly nowMs: number;
}

export interface EndpointScore {
    readonly load: EndpointLoad;
    readonly cost: number;
    /** Expected time until the prompt or the part has been read, and the first event where it is written here. */
    readonly firstEventMs: number;
    readonly freeTokens: number;
}

/** Prompt tokens that count as one unit of harm; the worth of a request grows with its prompt. */
const TOKENS_PER_WEIGHT = 20_000;
/** Parts of a target from which on a prediction counts as a risk, and as a miss. */
const SAFE_SHARE = 0.7;
const MISS_SHARE = 0.95;
/** A late answer keeps a part of its worth. */
const LATE_COST = 0.75;
/** A prompt that does not fit into memory evicts the newest one, which is read again. */
const EVICTION_COST = 2;
const FULL_SLOTS_COST = 1.5;
const SILENT_COST = 10;
const COST_PER_FAILURE = 0.5;
/** Below the cost of any harm: order among endpoints that serve equally well. */
const OTHER_DOMAIN_COST = 0.04;
const WAIT_COST = 0.08;
/** Idle endpoints are kept for prompts that cannot share one. */
const IDLE_COST = 0.06;
/** A part of its chunk budget from which a prompt's reading disturbs the answers of others. */
const LONG_READ_MS = 120;

/** Weight of a request's lateness, by the size of its prompt. */
export const weighPrompt = (promptTokens: number): number => 1 + promptTokens / TOKENS_PER_WEIGHT;

/** 0 while a value is well below its limit, 1 when it is missed. */
function estimateMiss(value: number, limit: number): number {
    const share = value / Math.max(1, limit);
    return Math.min(1, Math.max(0, (share - SAFE_SHARE) / (MISS_SHARE - SAFE_SHARE)));
}

/** Scores an endpoint for a prompt that is read in `parts` even parts. `isPart` is a part whose answer is written elsewhere. */
export function scoreEndpoint(
    view: PlacementView,
    load: EndpointLoad,
    need: PromptNeed,
    parts: number,
    isPart: boolean,
): EndpointScore {
    const { engine, nowMs } = view;
    const weight = weighPrompt(need.promptTokens);
    const writers = listWriters(load);
    const readMs = estimateReadMs(engine, need.promptTokens, parts) * load.pace;
    const readTokens = need.promptTokens / parts;
    const backlogMs = estimateBacklogMs(load, nowMs, isPart);
    const passMs = estimatePassMs(engine, load, writers);
    const waitMs = backlogMs + (writers.length > 0 ? passMs / 2 : 0);
    // An engine without writers gives the first token as soon as the prompt has been read.
    const ownPassMs = isPart || writers.length === 0 ? 0 : passMs + engine.stepsPerPass * engine.stepPerWriterMs;
    const firstEventMs = waitMs + readMs + ownPassMs;
    const readPerPassMs = estimateReadPerPassMs(engine, readTokens, readMs);
    const pauseMs = passMs + Math.min(readPerPassMs + backlogMs, estimateLongestReadMs(engine));
    // Prompts that are still being read will be writing when this one is read.
    const disturbed = load.bookings
        .filter(booking => !booking.isPart)
        .reduce(
            (sum, { memoryTokens, targetPauseMs }) =>
                sum + weighPrompt(memoryTokens) * estimateMiss(pauseMs, targetPauseMs),
            0,
        );
    const delayed = isPart ? estimateDelayOfReaders(load, readMs, nowMs) : 0;
    const freeTokens = getFreeTokens(engine, load);
    const neededTokens = readTokens + (isPart ? 0 : need.answerTokens);
    const isBusy = load.bookings.length > 0;
    const cost = LATE_COST * weight * estimateMiss(firstEventMs, need.targetMs)
        + LATE_COST * weight * (isPart ? 0 : estimateMiss(ownPassMs, need.targetPauseMs))
        + LATE_COST * (disturbed + delayed)
        + (freeTokens < neededTokens ? EVICTION_COST * weight : 0)
        + (load.bookings.length >= load.slots ? FULL_SLOTS_COST * weight : 0)
        + (load.isSilent ? SILENT_COST * weight : 0)
        + COST_PER_FAILURE * load.failures * weight
        + (load.failureDomain === view.ownDomain ? 0 : OTHER_DOMAIN_COST)
        + WAIT_COST * firstEventMs / Math.max(1, need.targetMs)
        + (isBusy || readMs >= LONG_READ_MS ? 0 : IDLE_COST);
    return { load, cost, firstEventMs, freeTokens };
}

/** Additional risk of the prompts that wait on the endpoint, if a part is read ahead of them. */
function estimateDelayOfReaders(load: EndpointLoad, readMs: number, nowMs: number): number {
    const waitMs = estimateBacklogMs(load, nowMs);
    return load.bookings
        .filter(booking => booking.readAtMs === undefined && !booking.isPart)
        .reduce((sum, booking) => {
            const firstEventMs = nowMs + waitMs - booking.startedAtMs;
            const before = estimateMiss(firstEventMs, booking.targetMs);
            const after = estimateMiss(firstEventMs + readMs, booking.targetMs);
            return sum + weighPrompt(booking.readTokens) * (after - before);
        }, 0);
}
