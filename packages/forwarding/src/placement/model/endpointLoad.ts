/** An endpoint as placement sees it. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { Booking } from "./booking.js";

export interface EndpointLoad {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly slots: number;
    readonly bookings: readonly Booking[];
    /** Recent failures, see `getFailures`. */
    readonly failures: number;
    readonly isSilent: boolean;
    /** Part of the endpoints of its failure domain that are silent; 0 in the host's own domain. */
    readonly domainSilence: number;
    /** Number from 0 to 1 that differs from host to host, so that hosts do not all take the same one of equal endpoints. */
    readonly bias: number;
    /** Observed slowness, 1 is as published. */
    readonly pace: number;
}
