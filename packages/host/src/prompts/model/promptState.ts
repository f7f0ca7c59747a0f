/** State that all prompts of a host share. */
import {
    createLaneDemandMeter,
    createRandomState,
    emptyLanePlan,
    fullRetryBudget,
    type LaneDemandMeter,
    type LanePlan,
    type RandomState,
    type RetryBudget,
} from "@currantrill/core";
import type { EndpointId, RequestId } from "@currantrill/protocol";
import { randomInt } from "node:crypto";

export interface PromptState {
    /** State of the pseudo-random generator for routing and retry backoff. */
    random: RandomState;
    /** Limits retries relative to successful requests, for prompts and idempotent calls together. */
    retryBudget: RetryBudget;
    /** Meter of the prompt tokens that arrive at this host, for long prompts and the rest. */
    demand: LaneDemandMeter;
    /** Division of the engines between long prompts and the rest. */
    lanes: LanePlan;
    /**
     * Engines that each gang without all its allocations waits for. Routing avoids them for other prompts if it can.
     */
    readonly pendingGangs: Map<RequestId, readonly EndpointId[]>;
}

/** Exclusive upper bound of the seed of the random generator. */
const SEED_LIMIT = 2 ** 31;

export const createPromptState = (): PromptState => ({
    random: createRandomState(randomInt(SEED_LIMIT)),
    retryBudget: fullRetryBudget,
    demand: createLaneDemandMeter(performance.now()),
    lanes: emptyLanePlan,
    pendingGangs: new Map(),
});
