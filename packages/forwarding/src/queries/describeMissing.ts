import type { ForwardingContext } from "../model/forwardingContext.js";

/** Describes why a host is not ready; `undefined` if it is. */
export function describeMissing(
    { shutdown, getConfiguration }: Pick<ForwardingContext, "shutdown" | "getConfiguration">,
): "shutdown" | "configuration" | undefined {
    if (shutdown !== undefined) {
        return "shutdown";
    }
    return getConfiguration() === undefined ? "configuration" : undefined;
}
