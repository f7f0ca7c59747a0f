/** State of the engine stand-in. */
import type { EngineReport, EngineRole, GenerateRequest } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createFaultState, type FaultState } from "../../model/faultState.js";
import { createLedgerState, type LedgerState } from "../../model/ledgerState.js";
import { createEngineMemory, type EngineMemory } from "./engineMemory.js";
import type { EngineSettings } from "./engineOptions.js";
import { createPrefixCache, type PrefixCache } from "./prefixCache.js";

/** A request in the batch or pending admission to it. */
export interface EngineRequest {
    readonly body: GenerateRequest;
    readonly response: ServerResponse;
    /** Sequence number of the arrival, which orders requests of the same priority. */
    readonly arrivalNumber: number;
    /** Tokens to prefill before the first token is sent: the prompt and the answer tokens that earlier attempts sent. */
    readonly totalPrefillTokens: number;
    completedPrefillTokens: number;
    /** Index of the next answer token to send. */
    nextTokenIndex: number;
}

/** Mutable state that the engine's routes and its step loop share. */
export interface EngineState {
    readonly settings: EngineSettings;
    readonly ledger: LedgerState;
    readonly faults: FaultState;
    readonly memory: EngineMemory;
    readonly cache: PrefixCache;
    /** Number of prompt tokens received by KV import, by request id. */
    readonly importedTokens: Map<string, number>;
    /** Ids of cancelled attempts, so that a request that arrives after its cancellation is not run. */
    readonly cancelledAttempts: Set<string>;
    /** Version of each loaded model, by name. */
    readonly models: Map<string, string>;
    /** Requests that wait for a slot or for memory. */
    pending: EngineRequest[];
    /** Requests in the batch. */
    running: EngineRequest[];
    arrivalCount: number;
    isStepLoopRunning: boolean;
    /** Kind of work for which the control plane uses the engine; set by the order `set_role`. */
    role: EngineRole;
    /** Whether the owner lends the engine to the system or has withdrawn it. */
    lending: EngineReport["lending"];
    /** Highest fencing token of the accepted orders. */
    highestFence: number;
    /** The published load report. */
    report: EngineReport | undefined;
    reportSequence: number;
}

/** Creates the state of an idle engine. */
export function createEngineState(settings: EngineSettings): EngineState {
    const ledger = createLedgerState();
    return {
        settings,
        ledger,
        faults: createFaultState(),
        memory: createEngineMemory(settings.memoryTokens),
        cache: createPrefixCache(settings.cacheEventLossFraction, xoroshiro128plus(settings.seed)),
        importedTokens: new Map(),
        cancelledAttempts: new Set(),
        models: new Map(settings.models.map(model => [model.name, model.version])),
        pending: [],
        running: [],
        arrivalCount: 0,
        isStepLoopRunning: false,
        role: "mixed",
        lending: "lent",
        highestFence: 0,
        report: undefined,
        reportSequence: 0,
    };
}

/**
 * Tokens of memory that a request uses implicitly while it runs: its prompt and its answer. A request with an allocation
 * uses none, because the allocation already holds its memory.
 */
export const getImplicitTokens = ({ body }: EngineRequest): number =>
    body.allocation_id === undefined ? body.prompt_tokens + body.max_tokens : 0;
