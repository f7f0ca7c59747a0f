import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import { defaultPlacementWeights } from "../../placement/model/placementWeights.js";

/** Permits that a short prompt leaves, of the three that endpoints with low limits keep. */
const LEFT_BY_SHORT_PROMPTS = 1;

/**
 * Returns how many permits a request leaves at an endpoint that names a rate limit. A long prompt may take the last one:
 * it is worth more than a short one, and delays the short ones on endpoints without a limit.
 */
export const countPermitsLeft = (engine: EngineProfile | undefined, promptTokens: number): number =>
    engine === undefined || promptTokens / engine.prefillTokensPerMs >= defaultPlacementWeights.longReadMs
        ? 0
        : LEFT_BY_SHORT_PROMPTS;
