import type { CrashReport } from "./crashReport.js";
import type { QuarantineEntry } from "./quarantineEntry.js";
import { getHeadDigest, getSuspectKind, type SuspectId, toRequestSuspect } from "./suspect.js";
import type { TrackedRequest } from "./trackedRequest.js";

/**
 * Finds requests that are suspected in any service. The body of a request is only hashed if a suspected one has the same
 * head; while there is none, nothing is hashed.
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
    const suspects = [
        ...reports.flatMap(({ requests }) => requests.map(({ suspect }) => suspect)),
        ...entries.map(({ suspect }) => suspect).filter(suspect => getSuspectKind(suspect) === "request"),
    ];
    const heads = new Set(suspects.map(getHeadDigest));
    return {
        find: ({ identity }) =>
            heads.size > 0 && heads.has(identity.getHeadDigest()) ? toRequestSuspect(identity.getDigest()) : undefined,
    };
}
