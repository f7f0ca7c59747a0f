import type { ServiceId } from "@currantrill/protocol";
import type { CrashReport } from "./crashReport.js";
import type { QuarantineEntry } from "./quarantineEntry.js";
import { getHeadDigest, getSuspectKind, type SuspectId, toRequestSuspect } from "./suspect.js";
import type { TrackedRequest } from "./trackedRequest.js";

/**
 * Finds requests that are suspected. The body of a request is only hashed if a suspected one has the same head; while
 * there is none for the service, nothing is hashed.
 */
export interface RequestIndex {
    /** Returns the id of a request if it may be a suspected one. */
    readonly find: (request: TrackedRequest) => SuspectId | undefined;
}

/** Creates an index of the requests in crash reports and entries. */
export function createRequestIndex(
    reports: readonly CrashReport[],
    entries: readonly QuarantineEntry[],
): RequestIndex {
    const heads = new Map<ServiceId, Set<string>>();
    const add = (service: ServiceId, suspect: SuspectId): void => {
        const known = heads.get(service) ?? new Set();
        heads.set(service, known.add(getHeadDigest(suspect)));
    };
    reports.forEach(({ service, requests }) => requests.forEach(({ suspect }) => add(service, suspect)));
    entries.filter(({ suspect }) => getSuspectKind(suspect) === "request")
        .forEach(({ service, suspect }) => add(service, suspect));
    return {
        find: ({ service, identity }) =>
            heads.get(service)?.has(identity.getHeadDigest()) === true
                ? toRequestSuspect(identity.getDigest())
                : undefined,
    };
}
