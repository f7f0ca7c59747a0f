import { adoptConfiguration as chooseHigherRevision, type Configuration, diffConfiguration } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** Number of differences kept for peers. A peer that lacks more revisions is sent the whole configuration. */
const MAX_HISTORY = 50;

/** Makes a configuration the active one and calls the listeners. Returns false if this host has it or a newer one. */
export function adoptConfiguration(context: HostContext, configuration: Configuration): boolean {
    const state = context.configuration;
    if (chooseHigherRevision(state.current, configuration) === state.current) {
        return false;
    }
    state.history.push(diffConfiguration(state.current, configuration));
    state.history.splice(0, state.history.length - MAX_HISTORY);
    state.current = configuration;
    context.metrics.configurationRevision.set(configuration.revision);
    context.log.info({ revision: configuration.revision }, "configuration: revision adopted");
    state.listeners.forEach(listener => listener(configuration));
    return true;
}
