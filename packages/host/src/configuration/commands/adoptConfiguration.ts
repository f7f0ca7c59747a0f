import { adoptConfiguration as adoptHigher, type Configuration, diffConfiguration } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** Differences kept for peers. A peer that lacks more is sent the whole configuration. */
const MAX_HISTORY = 50;

/** Puts a configuration in force unless the host already has it or a newer one. */
export function adoptConfiguration(context: HostContext, configuration: Configuration): boolean {
    const holder = context.configuration;
    if (adoptHigher(holder.current, configuration) === holder.current) {
        return false;
    }
    holder.history.push(diffConfiguration(holder.current, configuration));
    holder.history.splice(0, holder.history.length - MAX_HISTORY);
    holder.current = configuration;
    context.metrics.configurationRevision.set(configuration.revision);
    context.log.info({ revision: configuration.revision }, "configuration: revision adopted");
    holder.listeners.forEach(listener => listener(configuration));
    return true;
}
