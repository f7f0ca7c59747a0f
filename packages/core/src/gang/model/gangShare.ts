import type { EndpointView } from "../../endpoints/model/endpointView.js";

export interface GangCandidate {
    readonly view: EndpointView;
    /** Estimated free memory less the headroom. */
    readonly freeTokens: number;
    /** Expected wait before the prefill starts plus the costs of using the endpoint, in milliseconds. */
    readonly waitMs: number;
}

/** Share of the prompt and answer that a member holds. */
export interface GangShare {
    readonly candidate: GangCandidate;
    readonly tokens: number;
}
