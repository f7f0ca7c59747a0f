import { type Clocks, measureElapsed } from "@currantrill/protocol";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";

/** Endpoints that an attempt uses, and when their permits were granted or found not to be needed. */
export interface PermittedEndpoints {
    readonly endpoints: readonly Pick<Endpoint, "entry" | "warmth">[];
    readonly at: Clocks;
}

/**
 * Longest time from the answer of the host that grants to the first byte. With the 30 ms for the answer, a permit is used
 * within 100 ms, so that few come together after a pause of the process or a slow connection.
 */
export const MAX_PERMIT_AGE_MS = 70;

/** Returns whether the attempt may still be sent. Only permits of cold endpoints expire. */
export const isPermitCurrent = ({ endpoints, at }: PermittedEndpoints, now: Clocks): boolean =>
    measureElapsed(at, now) <= MAX_PERMIT_AGE_MS
    || endpoints.every(({ warmth }) => warmth.getRate(now.monotonicMs) === undefined);
