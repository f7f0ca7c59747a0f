/**
 * Releases orphaned memory. No lease or fencing token is needed: an attempt that its owner no longer knows never
 * becomes known again, and an id is never used twice, so that a late release by a paused sweeper does no harm.
 */
import type { HeldAllocation, IncarnationId, OwnerAnswerMessage } from "@currantrill/protocol";
import { toAllocationId } from "@currantrill/protocol";
import { ALLOCATION_TTL_MS, OWNER_SUSPICION_MS, parseAllocationId } from "../model/allocation.js";
import type { SweepEffect, SweepInput, SweepOptions, SweepQuestion, SweepState, SweepStep } from "../model/sweep.js";

/** Difference between two listings above which the remaining time shows a renewal. */
const RENEWAL_TOLERANCE_MS = 500;

export const defaultSweepOptions: SweepOptions = {
    absentMs: OWNER_SUSPICION_MS + ALLOCATION_TTL_MS,
    questionMs: 5_000,
    releaseOrphans: true,
};

export const createSweepState = (options: Partial<SweepOptions> = {}): SweepState => ({
    options: { ...defaultSweepOptions, ...options },
    nextQuestion: 1,
    absentSince: new Map(),
    lastListing: new Map(),
    questions: new Map(),
});

/** Handles a listing of what the engine holds: asks present owners and releases for absent ones. */
export function sweepAllocations(state: SweepState, input: SweepInput, nowMs: number): SweepStep {
    const owners = splitByOwner(input.held);
    const absentSince = updateAbsence(state, owners, input, nowMs);
    const effects: SweepEffect[] = [];
    const questions = new Map(
        [...state.questions].filter(([, question]) => nowMs - question.askedAtMs < state.options.questionMs),
    );
    let nextQuestion = state.nextQuestion;
    for (const [incarnation, allocations] of owners) {
        const since = absentSince.get(incarnation);
        if (since === undefined) {
            const question = { id: nextQuestion, incarnation, askedAtMs: nowMs, allocations };
            nextQuestion += 1;
            questions.set(question.id, question);
            const attempts = [...new Set(allocations.map(entry => entry.attempt))];
            effects.push({ type: "askOwner", question: question.id, incarnation, attempts });
        }
        else if (state.options.releaseOrphans && nowMs - since >= state.options.absentMs) {
            effects.push(...allocations.map(entry => ({ type: "release" as const, allocation: entry.id })));
        }
    }
    const lastListing = new Map(
        input.held.map(entry => [entry.allocation_id, { remainingMs: entry.remaining_ms, listedAtMs: nowMs }]),
    );
    return { state: { ...state, absentSince, lastListing, questions, nextQuestion }, effects };
}

/** Handles an owner's answer: releases what was listed before the question and is not alive. */
export function handleOwnerAnswer(
    state: SweepState,
    answer: Pick<OwnerAnswerMessage, "id" | "incarnation" | "alive">,
): SweepStep {
    const question = state.questions.get(answer.id);
    if (question?.incarnation !== answer.incarnation) {
        return { state, effects: [] };
    }
    const questions = new Map(state.questions);
    questions.delete(answer.id);
    const alive = new Set(answer.alive);
    const orphans = question.allocations.filter(entry => !alive.has(entry.attempt));
    const effects = state.options.releaseOrphans
        ? orphans.map(entry => ({ type: "release" as const, allocation: entry.id }))
        : [];
    return { state: { ...state, questions }, effects };
}

type OwnedAllocations = Map<IncarnationId, SweepQuestion["allocations"][number][]>;

/** Ids that no host of this system made are left to whoever made them. */
function splitByOwner(held: readonly HeldAllocation[]): OwnedAllocations {
    const owners: OwnedAllocations = new Map();
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
 * An owner counts as absent from the first listing without it in membership. An owner that still renews is alive although
 * the sweeper cannot reach it, so that a partition between hosts does not take memory from running requests.
 */
function updateAbsence(
    state: SweepState,
    owners: OwnedAllocations,
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

/** An engine that never counts down shows the same remaining time, which proves nothing. */
function isRenewed(state: SweepState, entry: HeldAllocation, nowMs: number): boolean {
    const last = state.lastListing.get(entry.allocation_id);
    if (last === undefined || last.remainingMs === entry.remaining_ms) {
        return false;
    }
    const expectedMs = Math.max(0, last.remainingMs - (nowMs - last.listedAtMs));
    return entry.remaining_ms > expectedMs + RENEWAL_TOLERANCE_MS;
}
