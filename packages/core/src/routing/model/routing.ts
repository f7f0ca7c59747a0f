/** Input and output of a routing decision. */
import type { EndpointId, FailureDomainId, ModelId, Priority, RequestId, WorkspaceId } from "@currantrill/protocol";
import type { EndpointView } from "../../endpoints/model/endpointView.js";
import type { LengthClass } from "../../model/lengthClass.js";
import type { RandomState } from "../../model/randomState.js";
import type { LanePlan } from "./lanePlan.js";
import type { RoutingSettings } from "./routingSettings.js";

/** The properties of a request that routing depends on. */
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
    /** Prompt tokens expected in the prefix cache of each endpoint, from `findPrefixHits`. */
    readonly prefixHits: ReadonlyMap<EndpointId, number>;
}

export interface RoutingInput {
    readonly request: RoutingRequest;
    /** Endpoints that the rules let the workspace use. */
    readonly candidates: readonly EndpointView[];
    /** Failure domain of this host. */
    readonly failureDomain: FailureDomainId;
    readonly lanes: LanePlan;
    /** Endpoints that a pending gang needs; used only if other endpoints are worse by more than a penalty. */
    readonly withheld: ReadonlySet<EndpointId>;
    readonly settings: RoutingSettings;
    readonly random: RandomState;
    readonly now: number;
}

/** An endpoint that a policy considered. The host logs it. */
export interface ScoredEndpoint {
    readonly endpoint: EndpointId;
    /** Expected time to first token plus penalties, in milliseconds; lower is better. */
    readonly score: number;
}

/** Why a request is refused without an attempt. */
export type RefusalReason = "no_endpoint" | "deadline" | "overload";

export type RoutingOutcome =
    | {
        readonly kind: "send";
        readonly endpoint: EndpointView;
        /** Expected time to first token from now, in milliseconds. */
        readonly expectedFirstTokenMs: number;
        /** Priority on the engine; a higher number runs first. */
        readonly enginePriority: number;
        /** Prompt tokens expected in the endpoint's prefix cache. */
        readonly cachedTokens: number;
    }
    /** Every suitable endpoint is full. The request stays in the host's queue, where it can still be refused. */
    | { readonly kind: "wait"; readonly expectedFirstTokenMs: number; }
    /** No single endpoint has enough memory; `planGang` decides. */
    | { readonly kind: "gang"; readonly enginePriority: number; }
    | { readonly kind: "refuse"; readonly reason: RefusalReason; };

/** The outcome with the grounds for it, which the host logs. */
export interface RoutingDecision {
    readonly outcome: RoutingOutcome;
    /** At most five of the endpoints that the choice was made from, in the order of the candidates. */
    readonly considered: readonly ScoredEndpoint[];
    /** Number of endpoints that the rules let the workspace use. */
    readonly candidateCount: number;
    readonly reason: string;
    /** State for the next decision. */
    readonly random: RandomState;
}

/** Names of the routing policies; `routingPolicies` maps them to their functions. */
export type RoutingPolicyName = "random" | "least-loaded" | "adaptive";
export type RoutingPolicy = (input: RoutingInput) => RoutingDecision;
