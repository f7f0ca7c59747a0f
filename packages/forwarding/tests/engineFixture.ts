import { toFailureDomainId } from "@currantrill/protocol";
import type { EngineProfile } from "../src/configuration/model/servingConfiguration.js";
import type { Booking } from "../src/placement/model/booking.js";
import type { EndpointLoad } from "../src/placement/model/endpointLoad.js";

/** An engine that prefills 200 tokens per millisecond and decodes 40 steps per iteration. */
export const engine: EngineProfile = {
    slots: 11,
    memoryTokens: 232_000,
    stepMs: 1,
    stepPerWriterMs: 0,
    stepPerContextMs: 0,
    readTokensPerMs: 200,
    pairsMsPerMillion: 0.14,
    chunkTokens: 2_048,
    stepsPerPass: 40,
    hopMs: 0.1,
    usualAnswerTokens: 1_000,
};

/** Failure domain of the host under test. */
export const ownDomain = toFailureDomainId("a");

/** Creates an idle endpoint in the local failure domain; `changes` overrides its properties. */
export const createLoad = (id: string, changes: Partial<EndpointLoad> = {}): EndpointLoad => ({
    id,
    address: `10.0.0.${id}:8000`,
    failureDomain: ownDomain,
    slots: engine.slots,
    bookings: [],
    failures: 0,
    isSilent: false,
    domainSilence: 0,
    bias: 0,
    pace: 1,
    ...changes,
});

/** Creates an assignment of a short prompt to endpoint 1; `changes` overrides its properties. */
export const createAssignment = (changes: Partial<Booking> = {}): Booking => ({
    id: 1,
    endpointId: "1",
    memoryTokens: 6_000,
    parts: 1,
    readTokens: 5_000,
    readMs: 25,
    targetMs: 300,
    targetPauseMs: 250,
    isPart: false,
    startedAtMs: 0,
    ...changes,
});
