import { measureLaneDemand, planLanes, sumLaneDemand } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import { countLiveHosts } from "../queries/countLiveHosts.js";

/**
 * Divides the reachable engines into a lane for long prompts and one for the rest, by demand. The demand of the fleet
 * is estimated as the demand of this host times the number of live hosts, since the load balancer distributes callers
 * evenly.
 */
export function updateLanes(context: HostContext): void {
    const localDemand = measureLaneDemand(context.prompts.demand, performance.now());
    const demand = sumLaneDemand(Array.from({ length: countLiveHosts(context) }, () => localDemand));
    const views = [...context.endpointStates.getViews().values()].filter(view =>
        view.memoryTokens > 0 && view.reachable && view.usable
    );
    context.prompts.lanes = planLanes(views, demand);
}
