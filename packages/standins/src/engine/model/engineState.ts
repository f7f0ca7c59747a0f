/** State of an engine stand-in. */
import type { EngineReport, EngineRole, GenerateRequest } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createFaultState, type FaultState } from "../../model/faultState.js";
import { createLedgerState, type LedgerState } from "../../model/ledgerState.js";
import { createEngineMemory, type EngineMemory } from "./engineMemory.js";
import type { EngineSettings } from "./engineOptions.js";
import { createPrefixCache, type PrefixCache } from "./prefixCache.js";

/** A prompt in the batch or waiting for it. */
export interface EngineRequest {
    readonly body: GenerateRequest;
    readonly response: ServerResponse;
    /** Order of arrival, among requests of the same priority. */
    readonly arrival: number;
    /** Tokens whose KV cache has to exist before the first token: the prompt and the tokens sent by earlier attempts. */
    readonly prefillTotal: number;
    prefillDone: number;
    nextIndex: number;
}

export interface EngineState {
    readonly settings: EngineSettings;
    readonly ledger: LedgerState;
    readonly faults: FaultState;
    readonly memory: EngineMemory;
    readonly cache: PrefixCache;
    /** Prompt tokens received by KV import, by request. */
    readonly imported: Map<string, number>;
    /** Attempts that were cancelled, so that a prompt that arrives after its cancel is not run. */
    readonly cancelled: Set<string>;
    readonly models: Map<string, string>;
    waiting: EngineRequest[];
    running: EngineRequest[];
    arrivals: number;
    stepping: boolean;
    role: EngineRole;
    lending: EngineReport["lending"];
    highestFence: number;
    report: EngineReport | undefined;
    reportSequence: number;
}

/** Creates an idle engine. */
export function createEngineState(settings: EngineSettings): EngineState {
    const ledger = createLedgerState();
    return {
        settings,
        ledger,
        faults: createFaultState(),
        memory: createEngineMemory(settings.memoryTokens),
        cache: createPrefixCache(settings.cacheEventLoss, xoroshiro128plus(settings.seed)),
        imported: new Map(),
        cancelled: new Set(),
        models: new Map(settings.models.map(model => [model.name, model.version])),
        waiting: [],
        running: [],
        arrivals: 0,
        stepping: false,
        role: "mixed",
        lending: "lent",
        highestFence: 0,
        report: undefined,
        reportSequence: 0,
    };
}

/** Memory that a request takes from the engine while it runs. One with an allocation holds its memory already. */
export const getImplicitTokens = ({ body }: EngineRequest): number =>
    body.allocation_id === undefined ? body.prompt_tokens + body.max_tokens : 0;
