import { type IncarnationId, toFencingToken } from "@currantrill/protocol";
import { type Clocks, measureElapsed } from "@currantrill/protocol";
import {
    type HeldLease,
    LEASE_MS,
    type LeaseDecision,
    type LeaseRow,
    MAX_ORDER_TRANSIT_MS,
    type ObservedLease,
} from "../model/lease.js";

/** Time during which an order of the previous holder may still arrive. */
const TAKEOVER_DELAY_MS = LEASE_MS + MAX_ORDER_TRANSIT_MS;

/**
 * Decides on a lease that this host does not hold. A row of another host is taken over once it has been seen unchanged
 * for the lease duration plus the maximum transit time of an order, on this host's clocks: the previous holder began
 * its lease before the row could be seen. No order of the previous holder can arrive after that time, so the new holder
 * sends its first order without a further wait.
 */
export function decideLease(
    row: { readonly version: number; readonly lease: LeaseRow; } | undefined,
    localIncarnation: IncarnationId,
    observed: ObservedLease | undefined,
    now: Clocks,
): LeaseDecision {
    if (row === undefined) {
        return { action: "take", token: toFencingToken(1), version: 0 };
    }
    const { version, lease } = row;
    const next = toFencingToken(lease.token + 1);
    if (lease.incarnation === localIncarnation) {
        return { action: "take", token: next, version };
    }
    const current = observed?.version === version ? observed : { version, firstSeenAt: now };
    const elapsedMs = measureShorterElapsed(current.firstSeenAt, now);
    return elapsedMs >= TAKEOVER_DELAY_MS
        ? { action: "take", token: next, version }
        : { action: "wait", observed: current, delayMs: TAKEOVER_DELAY_MS - elapsedMs };
}

/** The wait is measured by the clock that shows less, so that a step of the wall clock cannot shorten it. */
const measureShorterElapsed = (start: Clocks, now: Clocks): number =>
    Math.min(now.monotonicMs - start.monotonicMs, now.wallMs - start.wallMs);

/** Whether an order may be sent under the lease. Both clocks are read, so that a pause of the process counts. */
export const canSendOrder = (held: HeldLease, now: Clocks): boolean => measureElapsed(held.takenAt, now) < LEASE_MS;
