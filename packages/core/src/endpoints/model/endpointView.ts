/** State of an endpoint as known to this host: the last load report with its age, and this host's attempts on it. */
import type { AttemptId, EndpointId, FailureDomainId, PoolId, WorkspaceId } from "@currantrill/protocol";
import type { LengthClass } from "../../model/lengthClass.js";

/** Load of an endpoint at `observedAtMs`, from the endpoint's load report or from a load digest of a monitor. */
export interface LoadReport {
    /** 0 before the first report. */
    readonly sequence: number;
    /** Time of the observation on this host's clock: the time of arrival less the age of the report. */
    readonly observedAtMs: number;
    readonly queuedPrefillTokens: number;
    readonly runningRequests: number;
    readonly memoryUsedTokens: number;
}

/** One attempt of this host that runs on the endpoint. */
export interface LocalAttempt {
    readonly attempt: AttemptId;
    readonly sentAtMs: number;
    readonly lengthClass: LengthClass;
    /** Prompt tokens to process, without those expected in the prefix cache. */
    readonly prefillTokens: number;
    /** KV memory that the attempt holds until it ends, in tokens. */
    readonly memoryTokens: number;
    /** Whether the first token has not arrived yet. */
    readonly inPrefill: boolean;
}

/**
 * Derived from the load report and this host's attempts at each change, so that routing decisions do not compute it.
 */
export interface LoadEstimate {
    /** Time at which the queued prefill work is expected to be finished, on this host's clock. */
    readonly drainedAtMs: number;
    readonly freeMemoryTokens: number;
    readonly freeSlots: number;
    /** Tokens of this host's requests of the class `short` in prefill. */
    readonly localShortTokens: number;
    /** Tokens of this host's requests of the classes `short` and `medium` in prefill. */
    readonly localShortAndMediumTokens: number;
    /** Number of this host's requests of the classes `long` and `huge` in prefill. */
    readonly localLongPrefills: number;
}

/** State of one endpoint as known to this host. Routing reads it, without a call to the endpoint. */
export interface EndpointView extends LoadEstimate {
    readonly endpoint: EndpointId;
    readonly pool: PoolId;
    readonly poolOwner: WorkspaceId;
    readonly failureDomain: FailureDomainId;
    /** Names of loaded models. */
    readonly models: ReadonlySet<string>;
    /** KV memory in tokens. */
    readonly memoryTokens: number;
    /** Requests that run at the same time. */
    readonly slots: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
    /** Whether the lending rules allow new work now. */
    readonly usable: boolean;
    /** Whether the endpoint's monitors reach it. */
    readonly reachable: boolean;
    /** No new work before this time, after a failure that this host observed. */
    readonly suspectUntilMs: number;
    readonly report: LoadReport;
    readonly localAttempts: readonly LocalAttempt[];
}

/** Used as the load report until the first one arrives. */
export const emptyReport: LoadReport = {
    sequence: 0,
    observedAtMs: 0,
    queuedPrefillTokens: 0,
    runningRequests: 0,
    memoryUsedTokens: 0,
};
