import type { Freshness } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** Sets the freshness of the configuration. Refreshes the lending decisions at the first confirmation. */
export function updateFreshness(context: HostContext, freshness: Freshness): void {
    const state = context.configuration;
    const isFirst = state.freshness.confirmedAt === undefined && freshness.confirmedAt !== undefined;
    state.freshness = freshness;
    if (isFirst) {
        // The host may become ready now. Without a refresh, its first prompt would find every endpoint unusable.
        context.lending.refresh();
    }
}
