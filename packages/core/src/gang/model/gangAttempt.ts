/**
 * Attempt to run one prompt on a gang: several endpoints that together hold a prompt that fits on none of them. Memory
 * is allocated on all members or on none.
 */
import type { EndpointId, RequestId } from "@currantrill/protocol";

export interface GangMember {
    readonly endpoint: EndpointId;
    /** Tokens of the prompt and answer that the member holds. */
    readonly tokens: number;
}

/** `waiting`: holds no memory until the next plan. `allocating`: members are being allocated one after the other. */
export type GangPhase = "allocating" | "waiting" | "running" | "failed" | "finished";

/** State of the attempt at the host that admitted the request. */
export interface GangAttempt {
    readonly request: RequestId;
    readonly phase: GangPhase;
    /** In ascending endpoint order, the order of the allocation requests. Empty until the first plan. */
    readonly members: readonly GangMember[];
    /** Number of members that have granted their allocation; they are the first ones of `members`. */
    readonly allocated: number;
    /** Number of plans whose allocation was begun. */
    readonly planCount: number;
    readonly startedAtMs: number;
    /** The prompt fails if its prefill cannot start by this time. */
    readonly startDeadlineMs: number;
    /** Time of the next plan in phase `waiting`. */
    readonly notBeforeMs: number;
}

/** Results that the driver passes to `advanceGang`. */
export type GangEvent =
    /** Members from `planGang`; `undefined` if too little memory is free for now. */
    | { readonly kind: "planned"; readonly members: readonly GangMember[] | undefined; }
    | { readonly kind: "allocated"; readonly endpoint: EndpointId; }
    /** A refusal, or an allocation request that got no answer in time. */
    | { readonly kind: "refused"; readonly endpoint: EndpointId; }
    | { readonly kind: "memberFailed"; readonly endpoint: EndpointId; }
    | { readonly kind: "answered"; };

/** Actions that the driver carries out, in the given order. */
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

/** Creates an attempt, which waits for its first plan. */
export function createGangAttempt(request: RequestId, now: number, startDeadlineMs: number): GangAttempt {
    return {
        request,
        phase: "waiting",
        members: [],
        allocated: 0,
        planCount: 0,
        startedAtMs: now,
        startDeadlineMs,
        notBeforeMs: now,
    };
}
