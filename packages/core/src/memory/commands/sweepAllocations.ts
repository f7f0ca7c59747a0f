/**
 * Releases orphaned memory. No lease or fencing token is needed: an attempt that its owner no longer knows never
 * becomes known again, and ids are never reused, so that a late release by a paused sweeper is harmless.
 */
import type { HeldAllocation, IncarnationId, OwnerAnswerMessage } from "@currantrill/protocol";
import { toAllocationId } from "@currantrill/protocol";
import { ALLOCATION_TTL_MS, OWNER_SUSPICION_MS, parseAllocationId } from "../model/allocation.js";
import type { OwnershipQuery, SweepEffect, SweepInput, SweepOptions, SweepState, SweepStep } from "../model/sweep.js";

/** Excess of the remaining time over the expected one above which a listing shows a renewal. */
const RENEWAL_TOLERANCE_MS = 500;

export const defaultSweepOptions: SweepOptions = {
    ownerAbsenceMs: OWNER_SUSPICION_MS + ALLOCATION_TTL_MS,
    queryTimeoutMs: 5_000,
    releaseOrphans: true,
};

export const createSweepState = (options: Partial<SweepOptions> = {}): SweepState => ({
    options: { ...defaultSweepOptions, ...options },
    nextQueryId: 1,
    absentSince: new Map(),
    lastListing: new Map(),
    pendingQueries: new Map(),
});

/**
 * Handles an engine's list of allocations: queries the owners that are in membership, and releases the allocations of
 * owners that have been absent for `ownerAbsenceMs`.
 */
export function sweepAllocations(state: SweepState, input: SweepInput, nowMs: number): SweepStep {
    const owners = splitByOwner(input.held);
    const absentSince = updateAbsence(state, owners, input, nowMs);
    const effects: SweepEffect[] = [];
    const pendingQueries = new Map(
        [...state.pendingQueries].filter(([, query]) => nowMs - query.queriedAtMs < state.options.queryTimeoutMs),
    );
    let nextQueryId = state.nextQueryId;
    for (const [incarnation, allocations] of owners) {
        const since = absentSince.get(incarnation);
        if (since === undefined) {
            const query = { id: nextQueryId, incarnation, queriedAtMs: nowMs, allocations };
            nextQueryId += 1;
            pendingQueries.set(query.id, query);
            const attempts = [...new Set(allocations.map(entry => entry.attempt))];
            effects.push({ type: "queryOwner", queryId: query.id, incarnation, attempts });
        }
        else if (state.options.releaseOrphans && nowMs - since >= state.options.ownerAbsenceMs) {
            effects.push(...allocations.map(entry => ({ type: "release" as const, allocation: entry.id })));
        }
    }
    const lastListing = new Map(
        input.held.map(entry => [entry.allocation_id, { remainingMs: entry.remaining_ms, listedAtMs: nowMs }]),
    );
    return { state: { ...state, absentSince, lastListing, pendingQueries, nextQueryId }, effects };
}

/** Handles an owner's answer: releases what was listed before the query and belongs to no live attempt. */
export function handleOwnerAnswer(
    state: SweepState,
    answer: Pick<OwnerAnswerMessage, "id" | "incarnation" | "alive">,
): SweepStep {
    const query = state.pendingQueries.get(answer.id);
    if (query?.incarnation !== answer.incarnation) {
        return { state, effects: [] };
    }
    const pendingQueries = new Map(state.pendingQueries);
    pendingQueries.delete(answer.id);
    const alive = new Set(answer.alive);
    const orphans = query.allocations.filter(entry => !alive.has(entry.attempt));
    const effects = state.options.releaseOrphans
        ? orphans.map(entry => ({ type: "release" as const, allocation: entry.id }))
        : [];
    return { state: { ...state, pendingQueries }, effects };
}

type AllocationsByOwner = Map<IncarnationId, OwnershipQuery["allocations"][number][]>;

/** Groups allocations by owner. Ignores ids that no host of this system made, as it does not manage those. */
function splitByOwner(held: readonly HeldAllocation[]): AllocationsByOwner {
    const owners: AllocationsByOwner = new Map();
    for (const entry of held) {
        const parts = parseAllocationId(entry.allocation_id);
        if (parts !== undefined) {
            const list = owners.get(parts.incarnation) ?? [];
            owners.set(parts.incarnation, [...list, {
                id: toAllocationId(entry.allocation_id),
                attempt: parts.attempt,
            }]);
        }
    }
    return owners;
}

/**
 * An owner counts as absent from the first listing at which membership lacks it. An owner that still renews is alive
 * although the sweeper cannot reach it; each renewal restarts the absence, so that a network partition between hosts
 * does not take memory from running requests.
 */
function updateAbsence(
    state: SweepState,
    owners: AllocationsByOwner,
    input: SweepInput,
    nowMs: number,
): Map<IncarnationId, number> {
    const renewed = new Set(
        input.held.filter(entry => isRenewed(state, entry, nowMs)).map(entry => entry.allocation_id),
    );
    const absentSince = new Map<IncarnationId, number>();
    for (const [incarnation, allocations] of owners) {
        const renews = allocations.some(entry => renewed.has(entry.id));
        if (!input.members.has(incarnation)) {
            absentSince.set(incarnation, renews ? nowMs : state.absentSince.get(incarnation) ?? nowMs);
        }
    }
    return absentSince;
}

/** An unchanged remaining time is no evidence of a renewal: an engine that never counts down reports the same value. */
function isRenewed(state: SweepState, entry: HeldAllocation, nowMs: number): boolean {
    const last = state.lastListing.get(entry.allocation_id);
    if (last === undefined || last.remainingMs === entry.remaining_ms) {
        return false;
    }
    const expectedMs = Math.max(0, last.remainingMs - (nowMs - last.listedAtMs));
    return entry.remaining_ms > expectedMs + RENEWAL_TOLERANCE_MS;
}
