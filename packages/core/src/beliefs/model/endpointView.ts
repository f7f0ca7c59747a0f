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

/** Sums over the host's own work, kept up to date so that a decision among many endpoints reads only numbers. */
export interface OwnLoad {
    readonly requests: number;
    /** Tokens of requests whose first token has not arrived. */
    readonly prefillTokens: number;
    /** The part of `prefillTokens` that belongs to short requests. */
    readonly shortPrefillTokens: number;
    /** The part of `prefillTokens` that belongs to short and medium requests. */
    readonly urgentPrefillTokens: number;
    /** Requests of the classes `long` and `huge` in prefill. */
    readonly longPrefills: number;
    /** Time of the oldest request in prefill; `Infinity` if there is none. */
    readonly oldestPrefillAtMs: number;
    readonly requestsSinceReport: number;
    readonly prefillTokensSinceReport: number;
    readonly memoryTokensSinceReport: number;
    /** Time of the first send that the report does not include; `Infinity` if there is none. */
    readonly firstSinceReportAtMs: number;
}

export interface EndpointView {
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
    readonly ownLoad: OwnLoad;
}

export const emptyReport: LoadReport = {
    sequence: 0,
    observedAtMs: 0,
    queuedPrefillTokens: 0,
    runningRequests: 0,
    memoryUsedTokens: 0,
};

export const emptyOwnLoad: OwnLoad = {
    requests: 0,
    prefillTokens: 0,
    shortPrefillTokens: 0,
    urgentPrefillTokens: 0,
    longPrefills: 0,
    oldestPrefillAtMs: Infinity,
    requestsSinceReport: 0,
    prefillTokensSinceReport: 0,
    memoryTokensSinceReport: 0,
    firstSinceReportAtMs: Infinity,
};
