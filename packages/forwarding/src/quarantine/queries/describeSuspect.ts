import { getRequestDigest, getSuspectKind, type SuspectId, type SuspectKind } from "../model/suspect.js";

const describeByKind: Readonly<Record<SuspectKind, (suspect: SuspectId) => Readonly<Record<string, string>>>> = {
    part: suspect => ({ part: suspect }),
    request: suspect => ({ requestDigest: getRequestDigest(suspect) }),
};

/** Returns the log field that names a suspect. */
export const describeSuspect = (suspect: SuspectId): Readonly<Record<string, string>> =>
    describeByKind[getSuspectKind(suspect)](suspect);
