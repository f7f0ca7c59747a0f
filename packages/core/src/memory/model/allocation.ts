/** Allocations: memory that this host holds on engines for its attempts. */
import type { AllocationId, AttemptId, EndpointId, IncarnationId } from "@currantrill/protocol";
import { toAllocationId, toAttemptId, toIncarnationId } from "@currantrill/protocol";

/** Time to live of an allocation. The engine drops an allocation that is not renewed within this time. */
export const ALLOCATION_TTL_MS = 15_000;
/** An owner renews its allocations this often, so that two lost renewals do no harm. */
export const RENEW_INTERVAL_MS = 4_000;
/** A host that is absent from membership for this long is suspected to be down. */
export const OWNER_SUSPICION_MS = 10_000;

/** Components of an allocation id, `<incarnation>.<attempt>.<index>`. */
export interface AllocationIdParts {
    readonly incarnation: IncarnationId;
    readonly attempt: AttemptId;
    readonly index: number;
}

/** Formats an allocation id. Ids are never reused, so a repeated or late release cannot affect another allocation. */
export function formatAllocationId({ incarnation, attempt, index }: AllocationIdParts): AllocationId {
    return toAllocationId(`${incarnation}.${attempt}.${index}`);
}

/** Splits an id; `undefined` if it was not made by a host of this system. */
export function parseAllocationId(id: string): AllocationIdParts | undefined {
    const [incarnation, attempt, index, ...rest] = id.split(".");
    if (incarnation === undefined || attempt === undefined || index === undefined || rest.length > 0) {
        return undefined;
    }
    const valid = incarnation !== "" && attempt !== "" && /^\d+$/.test(index);
    return valid
        ? { incarnation: toIncarnationId(incarnation), attempt: toAttemptId(attempt), index: Number(index) }
        : undefined;
}

/** `requested` from before the request is sent; `releasing` until the engine has confirmed the release. */
export type AllocationPhase = "requested" | "held" | "releasing";

/** Allocation that this host has requested and holds or may hold. */
export interface LocalAllocation {
    readonly id: AllocationId;
    readonly attempt: AttemptId;
    readonly endpoint: EndpointId;
    readonly tokens: number;
    readonly phase: AllocationPhase;
    /** Monotonic time of the next renewal, or of the next attempt at the release. */
    readonly dueAtMs: number;
    /** Monotonic time after which the engine has dropped the allocation by itself. */
    readonly expiresAtMs: number;
}

/** All allocations that one host incarnation holds or may hold. An attempt without an entry is not alive. */
export interface AllocationState {
    readonly incarnation: IncarnationId;
    readonly nextIndex: number;
    readonly allocations: ReadonlyMap<AllocationId, LocalAllocation>;
}

/** Requests to the engine, and `lost`, which reports to the attempt. */
export type AllocationEffect =
    | { readonly type: "allocate"; readonly allocation: LocalAllocation; readonly ttlMs: number; }
    | { readonly type: "renew"; readonly allocation: LocalAllocation; readonly ttlMs: number; }
    | { readonly type: "release"; readonly allocation: LocalAllocation; }
    /** The memory of a running attempt is no longer held, or not certain to be; the work must be retried. */
    | { readonly type: "lost"; readonly allocation: LocalAllocation; };

/** Response of an engine to a request. `absent`: the engine does not have the allocation. */
export type AllocationEvent =
    | { readonly type: "allocated" | "refused" | "absent" | "released"; readonly id: AllocationId; }
    /** The time to live counts from `sentAtMs`, when the host sent the renewal: the engine starts it no earlier. */
    | { readonly type: "renewed"; readonly id: AllocationId; readonly sentAtMs: number; }
    /** No response to a request. It may have taken effect, or may do so later. */
    | { readonly type: "answerLost"; readonly id: AllocationId; };

export interface AllocationStep {
    readonly state: AllocationState;
    readonly effects: readonly AllocationEffect[];
}
