/** What may be at fault when an endpoint crashes: a shared part of prompts, or a whole request. Unique within a service. */
export type SuspectId = string & { readonly __brand: "SuspectId"; };

export type SuspectKind = "part" | "request";

/** Ids of parts have no space, so that no caller can name a request as a part of its prompt. */
const REQUEST_PREFIX = "request ";
const HEAD_DIGEST_END = ".";

export const toPartSuspect = (part: string): SuspectId => part as SuspectId;

/** `digest` is that of the request's identity. */
export const toRequestSuspect = (digest: string): SuspectId => `${REQUEST_PREFIX}${digest}` as SuspectId;

export const getSuspectKind = (suspect: SuspectId): SuspectKind =>
    suspect.startsWith(REQUEST_PREFIX) ? "request" : "part";

/** Returns the digest of a suspected request, as it is written to logs. */
export const getRequestDigest = (suspect: SuspectId): string => suspect.slice(REQUEST_PREFIX.length);

/** Returns the digest of the head of a suspected request. */
export const getHeadDigest = (suspect: SuspectId): string =>
    getRequestDigest(suspect).split(HEAD_DIGEST_END, 1)[0] ?? "";
