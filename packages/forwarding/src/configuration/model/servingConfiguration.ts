/** Types of the configuration by which requests are served, independent of the platform's row format. */
import type { FailureDomainId, ServiceId, WorkspaceId } from "@currantrill/protocol";

/**
 * How a request may be retried. `repeatable`: it may run more than once. `once`: it runs at most once. `stream`: the
 * answer is a stream of server-sent events; the request runs at most once unless the route allows a resume.
 */
export type RequestKind = "repeatable" | "once" | "stream";

/** A service that receives a share of a route's requests. */
export interface ServiceShare {
    readonly service: ServiceId;
    /** Weight of the service relative to the route's other services. */
    readonly weight: number;
}

/** Requests of one host and path prefix, and how they are served. */
export interface Route {
    readonly name: string;
    /** Host header in lower case, without a port. */
    readonly host: string;
    /** Path prefix; it begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RequestKind;
    /** Whether a broken stream may be resumed at another endpoint after the last event that was sent to the caller. */
    readonly canResume: boolean;
    /** Deadline of a request, in milliseconds after it has arrived. */
    readonly timeoutMs: number;
    /** Latency target of an answer, or of a stream's first event, in milliseconds. */
    readonly targetMs: number;
    /** Target for the longest pause between two events of a stream, in milliseconds. */
    readonly targetPauseMs: number;
    /** Priority; 0 is the most urgent. */
    readonly priority: number;
    /** Largest number of attempts for one request, each at another endpoint. */
    readonly attempts: number;
    /** Whether requests without a valid key are served. */
    readonly allowsAnonymous: boolean;
    /** Services among which the route's requests are split. */
    readonly shares: readonly ServiceShare[];
}

/** Published performance figures of a model engine. */
export interface EngineProfile {
    /** Number of requests that an engine serves concurrently. */
    readonly slots: number;
    /** Capacity of the engine's memory (KV cache), in tokens. */
    readonly memoryTokens: number;
    /** Time of one step of a batch iteration without other costs, in milliseconds. */
    readonly stepMs: number;
    /** Additional step time for each decoding request, in milliseconds. */
    readonly stepPerDecodeMs: number;
    /** Additional step time for each 1,000 tokens of context, in milliseconds. */
    readonly stepPerContextMs: number;
    /** Prefill throughput, in prompt tokens per millisecond. */
    readonly prefillTokensPerMs: number;
    /** Additional prefill time for each million pairs of a token and an earlier one (attention), in milliseconds. */
    readonly msPerMillionPairs: number;
    /** Largest number of prompt tokens that are prefilled in one step. */
    readonly chunkTokens: number;
    /** Number of steps in a batch iteration that includes decoding requests. */
    readonly stepsPerIteration: number;
    /** Additional step time at the primary engine of a sharded prefill, in milliseconds. */
    readonly hopMs: number;
    /** Mean answer length in tokens. */
    readonly meanAnswerTokens: number;
}

/** Rate that an endpoint tolerates while it is cold. */
export interface ColdPolicy {
    /** Time for which an endpoint is cold after its process has started, in milliseconds. */
    readonly durationMs: number;
    /** Requests a second from all hosts together. */
    readonly requestsPerSecond: number;
}

/** A service, and the engine that its endpoints run. */
export interface ServiceDefinition {
    readonly name: ServiceId;
    /** Absent for a service whose endpoints are not model engines. */
    readonly engine?: EngineProfile;
    /** Absent for a service whose endpoints are never cold. */
    readonly cold?: ColdPolicy;
    /** Names and values of cold settings that are not valid, and are ignored. */
    readonly invalidCold?: readonly string[];
}

/** Limits on the connections and requests of callers. */
export interface CallerLimits {
    readonly maxBodyBytes: number;
    /** Time in which a request's headers must arrive. */
    readonly headerTimeoutMs: number;
    /** Time after which an idle keep-alive connection is closed. */
    readonly idleTimeoutMs: number;
}

/** A workspace and the API keys that identify it. */
export interface WorkspaceKeys {
    readonly name: WorkspaceId;
    readonly keys: readonly string[];
    /** Priority of all requests of the workspace, in place of the route's. */
    readonly priority?: number;
}

export interface ServingConfiguration {
    /** Increases with each change; a host never goes back to a lower one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceDefinition[];
    readonly limits: CallerLimits;
    /** Absent where requests need no key. */
    readonly workspaces?: readonly WorkspaceKeys[];
}

/** An endpoint's row in the store, as its owner has published it. */
export interface EndpointEntry {
    readonly id: string;
    readonly service: ServiceId;
    /** IP address and port. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    /** Whether the endpoint takes no new requests. */
    readonly isDraining: boolean;
    /** Number of requests that the endpoint serves concurrently. */
    readonly slots: number;
    /** Start of the endpoint's process, in Unix milliseconds. A restarted endpoint has lost all earlier state. */
    readonly processStartedAtMs: number;
    /** Time for which the endpoint is still cold, in milliseconds; absent if the row does not say so. */
    readonly coldRemainingMs?: number;
    /** Value of a cold time that is not valid. */
    readonly invalidCold?: string;
}
