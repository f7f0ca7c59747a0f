/** Input and output of a routing decision. */
import type { EndpointId, FailureDomainId, ModelId, Priority, RequestId, WorkspaceId } from "@currantrill/protocol";
import type { EndpointView } from "../../beliefs/model/endpointView.js";
import type { LengthClass } from "../../model/lengthClass.js";
import type { RandomState } from "../../model/randomState.js";
import type { LanePlan } from "./lanePlan.js";
import type { RoutingSettings } from "./routingSettings.js";

export interface RoutingRequest {
    readonly request: RequestId;
    readonly workspace: WorkspaceId;
    readonly model: ModelId;
    readonly lengthClass: LengthClass;
    readonly promptTokens: number;
    readonly maxTokens: number;
    readonly priority: Priority;
    /** Time at which the answer has to be complete. */
    readonly deadlineMs: number;
    /** Expected prompt tokens in the cache of each endpoint, from `findPrefixHits`. */
    readonly prefixHits: ReadonlyMap<EndpointId, number>;
}

export interface RoutingInput {
    readonly request: RoutingRequest;
    /** Endpoints that the rules let the workspace use. */
    readonly candidates: readonly EndpointView[];
    readonly failureDomain: FailureDomainId;
    readonly lanes: LanePlan;
    /** Endpoints to spare for a pending gang, if others can do. */
    readonly withheld: ReadonlySet<EndpointId>;
    readonly settings: RoutingSettings;
    readonly random: RandomState;
    readonly now: number;
}

export interface ScoredEndpoint {
    readonly endpoint: EndpointId;
    /** Lower is better, in milliseconds. */
    readonly score: number;
}

export type RefusalReason = "no_endpoint" | "deadline" | "overload";

export type RoutingOutcome =
    | {
        readonly kind: "send";
        readonly endpoint: EndpointView;
        /** Expected time to first token from now, in milliseconds. */
        readonly expectedFirstTokenMs: number;
        /** Priority on the engine; higher runs first. */
        readonly enginePriority: number;
        /** Prompt tokens expected in the endpoint's cache. */
        readonly cachedTokens: number;
    }
    /** Every suitable endpoint is full. The request waits in the host's queue, where it can still be refused. */
    | { readonly kind: "wait"; readonly expectedFirstTokenMs: number; }
    /** No single endpoint has enough memory; `planGang` decides. */
    | { readonly kind: "gang"; readonly enginePriority: number; }
    | { readonly kind: "refuse"; readonly reason: RefusalReason; };

/** What was decided and on what grounds. The host logs it. */
export interface RoutingDecision {
    readonly outcome: RoutingOutcome;
    /** Best endpoints considered, best first. */
    readonly considered: readonly ScoredEndpoint[];
    /** Endpoints that the rules let the workspace use. */
    readonly candidateCount: number;
    readonly reason: string;
    readonly random: RandomState;
}

export type RoutingPolicyName = "random" | "least-loaded" | "adaptive";
export type RoutingPolicy = (input: RoutingInput) => RoutingDecision;
