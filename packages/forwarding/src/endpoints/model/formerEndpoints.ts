import { type Clocks, measureElapsed, readClocks } from "@currantrill/protocol";
import type { EndpointEntry } from "../../configuration/model/servingConfiguration.js";
import { type EndpointNotices, LEAVING_VALID_MS } from "../../notices/model/endpointNotices.js";
import type { EndpointWarmth } from "../../warmup/model/endpointWarmth.js";

/** What this host knows of an endpoint whose entry has been removed. */
export interface FormerEndpoint {
    readonly entry: EndpointEntry;
    readonly notices: EndpointNotices;
    readonly warmth: EndpointWarmth;
}

/** Endpoints without an entry. A store that is restored from an older copy has the entries of such endpoints again. */
export interface FormerEndpoints {
    readonly add: (endpoint: FormerEndpoint) => void;
    /** Removes and returns what is known of the process of an entry. */
    readonly take: (entry: EndpointEntry) => FormerEndpoint | undefined;
}

/** Time for which an endpoint is remembered: as long as its notice that it leaves is valid. */
const KEEP_MS = LEAVING_VALID_MS;
/** Number of endpoints that are remembered; more than are replaced in `KEEP_MS` in the largest fleets. */
const MAX_FORMER_ENDPOINTS = 2_000;

export function createFormerEndpoints(): FormerEndpoints {
    const former = new Map<string, FormerEndpoint & { readonly removedAt: Clocks; }>();
    return {
        add: ({ entry, notices, warmth }) => {
            former.delete(entry.id);
            former.set(entry.id, { entry, notices, warmth, removedAt: readClocks() });
            const [oldest] = former.keys();
            if (former.size > MAX_FORMER_ENDPOINTS && oldest !== undefined) {
                former.delete(oldest);
            }
        },
        take: entry => {
            const known = former.get(entry.id);
            former.delete(entry.id);
            const isCurrent = known !== undefined && isSameProcess(known.entry, entry)
                && measureElapsed(known.removedAt, readClocks()) <= KEEP_MS;
            return isCurrent ? known : undefined;
        },
    };
}

/** Returns whether two entries are of the same process: a restart under the same id knows nothing of before. */
export const isSameProcess = (a: EndpointEntry, b: EndpointEntry): boolean =>
    a.address === b.address && a.processStartedAtMs === b.processStartedAtMs && a.service === b.service;
