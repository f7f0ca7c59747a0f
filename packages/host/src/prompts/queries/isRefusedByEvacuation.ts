import { canServeOutsideEvacuations } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";
import type { PromptJob } from "../model/promptJob.js";

/** Whether evacuations leave too few endpoints for a pending prompt, so that it is to be refused at once. */
export function isRefusedByEvacuation(context: HostContext, { allowedEndpoints, request }: PromptJob): boolean {
    const { evacuatedDomains } = getConfigurationIndex(context.configuration.current);
    if (evacuatedDomains.size === 0) {
        return false;
    }
    const states = context.endpointStates.getViews();
    const views = allowedEndpoints.map(id => states.get(id)).filter(view => view !== undefined);
    return !canServeOutsideEvacuations(views, evacuatedDomains, request.promptTokens + request.maxTokens);
}
