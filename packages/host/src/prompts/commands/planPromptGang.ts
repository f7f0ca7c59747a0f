import { type GangPlan, planGang } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";
import { buildRoutingInput } from "../queries/buildRoutingInput.js";

/** Plans the gang of a prompt: the engines that together hold a prompt too large for the memory of one. */
export function planPromptGang(context: HostContext, job: PromptJob): GangPlan {
    const { plan, random } = planGang(context.settings.routing.policy, buildRoutingInput(context, job));
    context.prompts.random = random;
    return plan;
}
