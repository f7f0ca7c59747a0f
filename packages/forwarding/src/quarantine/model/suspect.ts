/** What may be at fault when an endpoint crashes: a shared part of prompts. Unique within a service. */
export type SuspectId = string & { readonly __brand: "SuspectId"; };

export const toPartSuspect = (part: string): SuspectId => part as SuspectId;
