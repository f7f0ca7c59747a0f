/** State of a sweeper, which releases orphaned memory on one engine. */
import type { AllocationId, AttemptId, HeldAllocation, IncarnationId } from "@currantrill/protocol";

export interface SweepOptions {
    /** Time for which an incarnation has to be absent before its allocations are released, in milliseconds. */
    readonly ownerAbsenceMs: number;
    /** Time after which an unanswered ownership query is removed, in milliseconds. */
    readonly queryTimeoutMs: number;
    /** Release allocations of absent owners and of attempts unknown to their owner. Only the proofs disable it. */
    readonly releaseOrphans: boolean;
}

export interface SweepState {
    readonly options: SweepOptions;
    readonly nextQueryId: number;
    /** Monotonic time at which an owner was first found absent, or was last seen renewing. */
    readonly absentSince: ReadonlyMap<IncarnationId, number>;
    /** Remaining time of each allocation in the previous listing, by allocation id. */
    readonly lastListing: ReadonlyMap<string, { readonly remainingMs: number; readonly listedAtMs: number; }>;
    readonly pendingQueries: ReadonlyMap<number, OwnershipQuery>;
}

/** Query to an owner: which of the attempts that hold memory are alive. */
export interface OwnershipQuery {
    readonly id: number;
    readonly incarnation: IncarnationId;
    readonly queriedAtMs: number;
    /** Allocations listed before the query was sent, with their attempts. */
    readonly allocations: readonly { readonly id: AllocationId; readonly attempt: AttemptId; }[];
}

export type SweepEffect =
    | { readonly type: "release"; readonly allocation: AllocationId; }
    /** Sent as `ownerQuery` to the host of the incarnation. */
    | {
        readonly type: "queryOwner";
        readonly queryId: number;
        readonly incarnation: IncarnationId;
        readonly attempts: readonly AttemptId[];
    };

export interface SweepStep {
    readonly state: SweepState;
    readonly effects: readonly SweepEffect[];
}

/** One listing of what an engine holds, with the membership at that time. */
export interface SweepInput {
    readonly held: readonly HeldAllocation[];
    /** Incarnations in membership. */
    readonly members: ReadonlySet<IncarnationId>;
}
