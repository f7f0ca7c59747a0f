import { routeAdaptively } from "../queries/routeAdaptively.js";
import { routeRandomly } from "../queries/routeRandomly.js";
import { routeToLeastLoaded } from "../queries/routeToLeastLoaded.js";
import type { RoutingPolicy, RoutingPolicyName } from "./routing.js";

/** Policies by name. `adaptive` is the one used in the product; the others are baselines. */
export const routingPolicies: Record<RoutingPolicyName, RoutingPolicy> = {
    "random": routeRandomly,
    "least-loaded": routeToLeastLoaded,
    "adaptive": routeAdaptively,
};
