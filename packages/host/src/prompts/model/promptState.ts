/** What the prompts of a host share. */
import {
    createDemandMeter,
    createRandomState,
    type DemandMeter,
    emptyLanePlan,
    fullRetryBudget,
    type LanePlan,
    type RandomState,
    type RetryBudget,
} from "@currantrill/core";
import type { EndpointId, RequestId } from "@currantrill/protocol";
import { randomInt } from "node:crypto";

export interface PromptState {
    random: RandomState;
    retryBudget: RetryBudget;
    /** Work that arrives at this host. */
    demand: DemandMeter;
    lanes: LanePlan;
    /** Members that pending gangs wait for. */
    readonly withheld: Map<RequestId, readonly EndpointId[]>;
}

const MAX_SEED = 2 ** 31;

export const createPromptState = (): PromptState => ({
    random: createRandomState(randomInt(MAX_SEED)),
    retryBudget: fullRetryBudget,
    demand: createDemandMeter(performance.now()),
    lanes: emptyLanePlan,
    withheld: new Map(),
});
