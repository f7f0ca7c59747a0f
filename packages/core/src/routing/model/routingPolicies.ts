import { routeAdaptively } from "../queries/routeAdaptively.js";
import { routeRandomly } from "../queries/routeRandomly.js";
import { routeToLeastLoaded } from "../queries/routeToLeastLoaded.js";
import type { RoutingPolicy, RoutingPolicyName } from "./routing.js";

/** Routing policies by name. Hosts use `adaptive`; the others are baselines for comparison. */
export const routingPolicies: Record<RoutingPolicyName, RoutingPolicy> = {
    "random": routeRandomly,
    "least-loaded": routeToLeastLoaded,
    "adaptive": routeAdaptively,
};
