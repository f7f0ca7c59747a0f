/** The configuration that requests are served by, in the project's own terms. */
import type { FailureDomainId, ServiceId, WorkspaceId } from "@currantrill/protocol";

/**
 * What may be repeated. `repeatable`: the request may run more than once. `once`: it runs at most once. `stream`: the
 * answer is a series of events; it runs at most once unless the route allows a resume.
 */
export type RequestKind = "repeatable" | "once" | "stream";

export interface ServiceShare {
    readonly service: ServiceId;
    /** Relative part of the route's requests. */
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    /** Host header in lower case, without a port. */
    readonly host: string;
    /** Path prefix; it begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RequestKind;
    /** Whether a stream may go on at another endpoint after its last event. */
    readonly canResume: boolean;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer, or a stream's first event, is on time. */
    readonly targetMs: number;
    /** Longest pause between events of a stream that is on time. */
    readonly targetPauseMs: number;
    /** Rank; 0 is the most urgent. */
    readonly priority: number;
    /** Largest number of endpoints to which one request may be sent. */
    readonly attempts: number;
    readonly allowsAnonymous: boolean;
    readonly shares: readonly ServiceShare[];
}

/** Published figures of a model engine. */
export interface EngineProfile {
    /** Requests that an engine serves at once. */
    readonly slots: number;
    /** Tokens that the engine's memory holds. */
    readonly memoryTokens: number;
    /** Time of one token step without other costs, in milliseconds. */
    readonly stepMs: number;
    /** Additional step time for each request that is writing. */
    readonly stepPerWriterMs: number;
    /** Additional step time for each 1,000 tokens of context. */
    readonly stepPerContextMs: number;
    /** Prompt tokens read in a millisecond. */
    readonly readTokensPerMs: number;
    /** Additional time for each million pairs of a token and an earlier one. */
    readonly pairsMsPerMillion: number;
    /** Most prompt tokens read in one step. */
    readonly chunkTokens: number;
    /** Steps of a pass that includes writers. */
    readonly stepsPerPass: number;
    /** Additional step time at the first engine of a prompt read in parts. */
    readonly hopMs: number;
    /** Mean answer length in tokens. */
    readonly usualAnswerTokens: number;
}

export interface ServiceDefinition {
    readonly name: ServiceId;
    /** Present for model engines. */
    readonly engine?: EngineProfile;
}

export interface CallerLimits {
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface WorkspaceKeys {
    readonly name: WorkspaceId;
    readonly keys: readonly string[];
    /** Rank of all requests of the workspace, in place of the route's. */
    readonly priority?: number;
}

export interface ServingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceDefinition[];
    readonly limits: CallerLimits;
    /** Absent where requests need no key. */
    readonly workspaces?: readonly WorkspaceKeys[];
}

/** An endpoint as its owner published it. */
export interface EndpointEntry {
    readonly id: string;
    readonly service: ServiceId;
    /** IP address and port. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly isDraining: boolean;
    readonly slots: number;
    /** Start of the endpoint's process, Unix milliseconds. An endpoint that started again knows nothing of before. */
    readonly bornAtMs: number;
}
