import type { ServiceId } from "@currantrill/protocol";
import type { SuspectId } from "./suspect.js";

/** Key of a suspect within the service whose endpoints crash. */
export type SuspectKey = string & { readonly __brand: "SuspectKey"; };

export const createSuspectKey = (service: ServiceId, suspect: SuspectId): SuspectKey =>
    `${service} ${suspect}` as SuspectKey;
