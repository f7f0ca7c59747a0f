import { toFailureDomainId } from "@currantrill/protocol";
import type { EngineProfile } from "../src/configuration/model/servingConfiguration.js";
import type { Assignment } from "../src/placement/model/assignment.js";
import type { EndpointLoad } from "../src/placement/model/endpointLoad.js";

/** An engine that prefills 200 tokens per millisecond and decodes 40 steps per iteration. */
export const engine: EngineProfile = {
    slots: 11,
    memoryTokens: 232_000,
    stepMs: 1,
    stepPerDecodeMs: 0,
    stepPerContextMs: 0,
    prefillTokensPerMs: 200,
    msPerMillionPairs: 0.14,
    chunkTokens: 2_048,
    stepsPerIteration: 40,
    hopMs: 0.1,
    meanAnswerTokens: 1_000,
};

/** Failure domain of the host under test. */
export const testDomain = toFailureDomainId("a");

/** Creates an idle endpoint in the local failure domain; `changes` overrides its properties. */
export const createLoad = (id: string, changes: Partial<EndpointLoad> = {}): EndpointLoad => ({
    id,
    address: `10.0.0.${id}:8000`,
    failureDomain: testDomain,
    slots: engine.slots,
    assignments: [],
    failures: 0,
    isUnresponsive: false,
    domainUnresponsiveFraction: 0,
    bias: 0,
    slowdown: 1,
    isRateLimited: false,
    ...changes,
});

/** Creates an assignment of a short prompt to endpoint 1; `changes` overrides its properties. */
export const createAssignment = (changes: Partial<Assignment> = {}): Assignment => ({
    id: 1,
    endpointId: "1",
    memoryTokens: 6_000,
    promptShards: 1,
    prefillTokens: 5_000,
    prefillMs: 25,
    targetMs: 300,
    targetPauseMs: 250,
    isDecodedElsewhere: false,
    startedAtMs: 0,
    ...changes,
});
