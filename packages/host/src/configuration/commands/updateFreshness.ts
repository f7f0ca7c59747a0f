import type { Freshness } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** Sets the freshness of the configuration. */
export function updateFreshness(context: HostContext, freshness: Freshness): void {
    const holder = context.configuration;
    const isFirst = holder.freshness.confirmedAt === undefined && freshness.confirmedAt !== undefined;
    holder.freshness = freshness;
    if (isFirst) {
        // The host may become ready now; its first prompt must not find every endpoint unusable.
        context.lending.refresh();
    }
}
