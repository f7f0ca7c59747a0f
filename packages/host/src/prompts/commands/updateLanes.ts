import { planLanes, readDemand, sumDemand } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import { countHosts } from "../queries/countHosts.js";

/**
 * Divides the reachable engines between long prompts and the rest. The demand of the fleet is taken to be this host's
 * times the number of hosts: the load balancer spreads the callers evenly.
 */
export function updateLanes(context: HostContext): void {
    const own = readDemand(context.prompts.demand, performance.now());
    const demand = sumDemand(Array.from({ length: countHosts(context) }, () => own));
    const views = [...context.beliefs.getAll().values()].filter(view =>
        view.memoryTokens > 0 && view.reachable && view.usable
    );
    context.prompts.lanes = planLanes(views, demand);
}
