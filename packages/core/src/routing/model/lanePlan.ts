import type { EndpointId } from "@currantrill/protocol";

/** Division of the endpoints between long prompts and the rest. All hosts derive it from the same facts. */
export interface LanePlan {
    /** Endpoints open to prompts of the classes `long` and `huge`. */
    readonly longLane: ReadonlySet<EndpointId>;
}

export const emptyLanePlan: LanePlan = { longLane: new Set() };
