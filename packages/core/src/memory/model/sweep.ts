/** State of a sweeper, which releases memory on one engine that nobody owns any more. */
import type { AllocationId, AttemptId, HeldAllocation, IncarnationId } from "@currantrill/protocol";

export interface SweepOptions {
    /** Time for which an incarnation has to be absent before its allocations are released, in milliseconds. */
    readonly absentMs: number;
    /** Time after which an unanswered question to an owner is forgotten. */
    readonly questionMs: number;
    /** Release allocations of absent owners and of attempts that their owner does not know. The proofs switch it off. */
    readonly releaseOrphans: boolean;
}

export interface SweepState {
    readonly options: SweepOptions;
    readonly nextQuestion: number;
    /** Monotonic time at which an owner was first found absent, or was last seen renewing. */
    readonly absentSince: ReadonlyMap<IncarnationId, number>;
    readonly lastListing: ReadonlyMap<string, { readonly remainingMs: number; readonly listedAtMs: number; }>;
    readonly questions: ReadonlyMap<number, SweepQuestion>;
}

export interface SweepQuestion {
    readonly id: number;
    readonly incarnation: IncarnationId;
    readonly askedAtMs: number;
    /** Allocations listed before the question was asked, with their attempts. */
    readonly allocations: readonly { readonly id: AllocationId; readonly attempt: AttemptId; }[];
}

export type SweepEffect =
    | { readonly type: "release"; readonly allocation: AllocationId; }
    /** Sent as `ownerQuery` to the host of the incarnation. */
    | {
        readonly type: "askOwner";
        readonly question: number;
        readonly incarnation: IncarnationId;
        readonly attempts: readonly AttemptId[];
    };

export interface SweepStep {
    readonly state: SweepState;
    readonly effects: readonly SweepEffect[];
}

export interface SweepInput {
    readonly held: readonly HeldAllocation[];
    /** Incarnations in membership. */
    readonly members: ReadonlySet<IncarnationId>;
}
