import type { ServiceId } from "@currantrill/protocol";
import type { RequestIdentity } from "./requestIdentity.js";
import type { SuspectId } from "./suspect.js";

/** What the quarantine has to know of a request. */
export interface TrackedRequest {
    readonly service: ServiceId;
    /** Shared parts of its prompt. */
    readonly parts: readonly SuspectId[];
    readonly identity: RequestIdentity;
}
