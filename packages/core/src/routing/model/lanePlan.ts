import type { EndpointId } from "@currantrill/protocol";

/**
 * Division of the endpoints into a long lane for prompts of the classes `long` and `huge`, and a short lane for the
 * rest. Each host computes it; the same endpoints and the same demand give the same plan.
 */
export interface LanePlan {
    /** Endpoints of the long lane; all others are in the short lane. */
    readonly longLane: ReadonlySet<EndpointId>;
}

/** The plan before the first one is computed: every endpoint is in the short lane. */
export const emptyLanePlan: LanePlan = { longLane: new Set() };
