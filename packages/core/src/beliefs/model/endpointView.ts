/** What one host believes about an endpoint: the last report with its age, and the host's own work on it. */
import type { AttemptId, EndpointId, FailureDomainId, PoolId, WorkspaceId } from "@currantrill/protocol";
import type { LengthClass } from "../../model/lengthClass.js";

/** Load of an endpoint at `observedAtMs`, from its own report or a digest. */
export interface LoadReport {
    /** 0 before the first report. */
    readonly sequence: number;
    /** Time on the host's clock at which the state held; lies in the past by the age of the report. */
    readonly observedAtMs: number;
    readonly queuedPrefillTokens: number;
    readonly runningRequests: number;
    readonly memoryUsedTokens: number;
}

/** One request of this host on the endpoint. */
export interface OwnWork {
    readonly attempt: AttemptId;
    readonly sentAtMs: number;
    readonly lengthClass: LengthClass;
    /** Prompt tokens to process, without those expected in the prefix cache. */
    readonly prefillTokens: number;
    /** Memory that the request holds until it ends. */
    readonly memoryTokens: number;
    /** Whether the first token has not arrived yet. */
    readonly inPrefill: boolean;
}

/** Numbers derived from the report and the host's own work at each change, so that a decision only reads them. */
export interface LoadEstimate {
    /** Time at which the queued prefill work is expected to be finished, on the host's clock. */
    readonly drainedAtMs: number;
    readonly freeMemoryTokens: number;
    readonly freeSlots: number;
    /** Tokens of the host's own short requests in prefill. */
    readonly ownShortTokens: number;
    /** Tokens of the host's own short and medium requests in prefill. */
    readonly ownUrgentTokens: number;
    /** The host's own requests of the classes `long` and `huge` in prefill. */
    readonly ownLongPrefills: number;
}

export interface EndpointView extends LoadEstimate {
    readonly endpoint: EndpointId;
    readonly pool: PoolId;
    readonly poolOwner: WorkspaceId;
    readonly failureDomain: FailureDomainId;
    /** Names of loaded models. */
    readonly models: ReadonlySet<string>;
    readonly memoryTokens: number;
    readonly slots: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
    /** Whether the lending rules allow new work now. */
    readonly usable: boolean;
    /** Whether the endpoint's watchers reach it. */
    readonly reachable: boolean;
    /** No new work before this time, after a failure seen by this host. */
    readonly suspectUntilMs: number;
    readonly report: LoadReport;
    readonly ownWork: readonly OwnWork[];
}

export const emptyReport: LoadReport = {
    sequence: 0,
    observedAtMs: 0,
    queuedPrefillTokens: 0,
    runningRequests: 0,
    memoryUsedTokens: 0,
};
