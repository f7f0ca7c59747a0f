import type { ServiceId } from "@currantrill/protocol";
import type { ForwardingContext } from "../../model/forwardingContext.js";

/** Returns whether a service has endpoints that do not drain, all of them in evacuated failure domains. */
export function isServiceEvacuated(
    { directory, evacuations }: Pick<ForwardingContext, "directory" | "evacuations">,
    service: ServiceId,
): boolean {
    const entries = directory.listAll().map(({ entry }) => entry)
        .filter(entry => entry.service === service && !entry.isDraining);
    return entries.length > 0 && entries.every(entry => evacuations.isEvacuated(entry.failureDomain));
}
