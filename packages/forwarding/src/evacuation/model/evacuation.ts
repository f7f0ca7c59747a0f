import type { FailureDomainId } from "@currantrill/protocol";

/** An evacuation in effect: no request is sent to the endpoints of the failure domain. */
export interface Evacuation {
    readonly domain: FailureDomainId;
    /** Position of the row's last known change in the store's change order, see `toPosition`. */
    readonly position: number;
    /**
     * When the evacuation ends, by the monotonic clock, in milliseconds. Set if it is retained: its row is missing since
     * the store was restored from an older copy.
     */
    readonly endsAtMs?: number;
}

/** An evacuation whose row is missing. */
export interface RetainedEvacuation {
    readonly domain: FailureDomainId;
    /** Position of the missing row. */
    readonly position: number;
    /** Time until the evacuation ends, in milliseconds. */
    readonly remainingMs: number;
}

/** A removal of an evacuation's row. */
export interface EvacuationRemoval {
    readonly domain: FailureDomainId;
    /** Position of the removal, or of a later read without the row. */
    readonly position: number;
}

/** What a host knows of evacuations that a copy of the operator's table does not show. */
export interface SharedEvacuations {
    readonly retained: readonly RetainedEvacuation[];
    readonly removed: readonly EvacuationRemoval[];
}
