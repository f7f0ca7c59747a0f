/** Placement of one prompt on several endpoints, all or nothing. */
import type { EndpointId, RequestId } from "@currantrill/protocol";

export interface GangMember {
    readonly endpoint: EndpointId;
    /** Tokens of the prompt and answer that the member holds. */
    readonly tokens: number;
}

export type GangPhase = "allocating" | "waiting" | "running" | "failed" | "finished";

/** State of the placement at the host that admitted the request. */
export interface GangAttempt {
    readonly request: RequestId;
    readonly phase: GangPhase;
    /** In ascending endpoint order, the order of the allocation requests. Empty until the first plan. */
    readonly members: readonly GangMember[];
    /** Members that have granted their allocation: the first `allocated` of `members`. */
    readonly allocated: number;
    /** Plans that were tried. */
    readonly tries: number;
    readonly startedAtMs: number;
    /** The prompt fails if its prefill has not started by then. */
    readonly lastStartMs: number;
    /** Time of the next plan in phase `waiting`. */
    readonly notBeforeMs: number;
}

export type GangEvent =
    /** The members of the next try, from `planGang`; `undefined` if there are too few endpoints for now. */
    | { readonly kind: "planned"; readonly members: readonly GangMember[] | undefined; }
    | { readonly kind: "allocated"; readonly endpoint: EndpointId; }
    /** A refusal, or an allocation request that got no answer in time. */
    | { readonly kind: "refused"; readonly endpoint: EndpointId; }
    | { readonly kind: "memberFailed"; readonly endpoint: EndpointId; }
    | { readonly kind: "answered"; };

export type GangAction =
    | { readonly kind: "allocate"; readonly member: GangMember; }
    | { readonly kind: "release"; readonly members: readonly GangMember[]; }
    | { readonly kind: "startPrefill"; readonly members: readonly GangMember[]; }
    /** Plan again at `atMs`. */
    | { readonly kind: "planAgain"; readonly atMs: number; }
    /** Answer the caller with a failure: the prompt was not run. */
    | { readonly kind: "fail"; };

export interface GangStep {
    readonly attempt: GangAttempt;
    readonly actions: readonly GangAction[];
}

/** A new attempt, which waits for its first plan. */
export function createGangAttempt(request: RequestId, now: number, lastStartMs: number): GangAttempt {
    return {
        request,
        phase: "waiting",
        members: [],
        allocated: 0,
        tries: 0,
        startedAtMs: now,
        lastStartMs,
        notBeforeMs: now,
    };
}
