import type { EndpointDirectory } from "../model/endpointDirectory.js";
import { getFailures, getPace } from "../model/endpointHealth.js";
import type { EndpointSighting } from "../model/endpointSighting.js";

/** Failures below this number are no news. */
const MIN_FAILURES = 0.25;
/** A pace below this one is no news. */
const MIN_PACE = 1.1;
/** A host that does not reach more than this part of the endpoints may itself be cut off, and says nothing about them. */
const MAX_SILENT_SHARE = 0.4;

/** Lists what is worth telling peers about endpoints. */
export function listSightings(directory: EndpointDirectory, nowMs: number): readonly EndpointSighting[] {
    const all = directory.listAll();
    const silent = all.filter(endpoint => endpoint.health.isSilent).length;
    if (silent > MAX_SILENT_SHARE * all.length) {
        return [];
    }
    return all.flatMap(({ entry, health }): readonly EndpointSighting[] => {
        const failures = getFailures(health, nowMs);
        const pace = getPace(health, nowMs);
        const isSlow = pace !== undefined && pace >= MIN_PACE;
        if (!health.isSilent && failures < MIN_FAILURES && !isSlow) {
            return [];
        }
        return [{
            endpointId: entry.id,
            isSilent: health.isSilent,
            failures,
            ...(isSlow ? { pace } : {}),
        }];
    });
}
