import { type IncarnationId, toFencingToken } from "@currantrill/protocol";
import { type Clocks, measureElapsed } from "../../model/clocks.js";
import {
    type HeldLease,
    LEASE_MS,
    type LeaseDecision,
    type LeaseRow,
    LONGEST_SEND_MS,
    type ObservedLease,
} from "../model/lease.js";

/** Time for which an order of the former holder may still arrive. */
const TAKEOVER_MS = LEASE_MS + LONGEST_SEND_MS;

/**
 * Decides on a lease that this host does not hold. A row of another host is taken over once it has been seen unchanged
 * for the lease and the longest send, on this host's own clocks: the former holder began its lease before the row could
 * be seen. That time has passed before the first order, so that a new holder need not wait again.
 */
export function decideLease(
    row: { readonly version: number; readonly lease: LeaseRow; } | undefined,
    own: IncarnationId,
    observed: ObservedLease | undefined,
    now: Clocks,
): LeaseDecision {
    if (row === undefined) {
        return { action: "take", token: toFencingToken(1), version: 0 };
    }
    const { version, lease } = row;
    const next = toFencingToken(lease.token + 1);
    if (lease.incarnation === own) {
        return { action: "take", token: next, version };
    }
    const current = observed?.version === version ? observed : { version, seenSince: now };
    const elapsedMs = measureMonotonic(current.seenSince, now);
    return elapsedMs >= TAKEOVER_MS
        ? { action: "take", token: next, version }
        : { action: "wait", observed: current, delayMs: TAKEOVER_MS - elapsedMs };
}

/** Waiting counts by the clock that shows less: a stepped wall clock must not shorten it. */
const measureMonotonic = (start: Clocks, now: Clocks): number =>
    Math.min(now.monotonicMs - start.monotonicMs, now.wallMs - start.wallMs);

/** Whether an order may be sent under the lease. Both clocks are read, so that a pause of the process counts. */
export const canOrder = (held: HeldLease, now: Clocks): boolean => measureElapsed(held.takenAt, now) < LEASE_MS;
