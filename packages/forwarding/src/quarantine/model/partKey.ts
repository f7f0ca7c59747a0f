import type { ServiceId } from "@currantrill/protocol";

/** Key of a part of prompts within the service that runs them. */
export type PartKey = string & { readonly __brand: "PartKey"; };

export const createPartKey = (service: ServiceId, part: string): PartKey => `${service} ${part}` as PartKey;
