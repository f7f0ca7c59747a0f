/** What a host asks a coordinator of a failure domain, and the answers. */
import type { FailureDomainId, ServiceId } from "@currantrill/protocol";
import type { PromptPlacement } from "../../placement/model/promptPlacement.js";
import type { PlacementRequest } from "../../placement/queries/scoreEndpoint.js";

/** A prompt to place. */
export interface PromptQuery extends PlacementRequest {
    readonly service: ServiceId;
    /** Endpoints that were tried before, or that did not grant a reservation. */
    readonly excludedIds: readonly string[];
}

/** A prompt to place, with what the coordinator may decide. */
export interface PlacementQuery extends PromptQuery {
    /** Whether the coordinator may name another failure domain instead. */
    readonly mayRedirect: boolean;
    /** Cost that the placement has to stay below; absent if any placement is accepted. */
    readonly maxCost?: number;
}

export type PlacementAnswer =
    | { readonly kind: "placed"; readonly placement: PromptPlacement; }
    /** Another failure domain is expected to serve the prompt at a lower cost than `localCost`. */
    | { readonly kind: "redirected"; readonly domain: FailureDomainId; readonly localCost: number; }
    /** No endpoint of the domain can hold the prompt, or the cost is not below `maxCost`. */
    | { readonly kind: "none"; }
    /** The host does not know the assignments of the domain, for example because it has just started. */
    | { readonly kind: "unavailable"; };
