/** Estimates the pending prefill work of an endpoint from its assignments. */
import type { Assignment } from "../model/assignment.js";
import type { EndpointLoad } from "../model/endpointLoad.js";

/** Fraction of a prompt's prefill time that is assumed to remain if it is not complete after its expected end. */
const OVERDUE_FRACTION = 0.2;

/** An assignment whose prefill is not complete. */
export interface PendingPrefill {
    readonly assignment: Assignment;
    /** Remaining prefill time of this assignment alone, in milliseconds. */
    readonly remainingMs: number;
}

/** Whether several endpoints prefill the prompt, one of which is this assignment's. */
const isSharded = (assignment: Assignment): boolean => assignment.promptShards > 1;

/**
 * Replays the prefill work of an endpoint, and lists what is pending in the order in which the engine processes it:
 * shards ahead of everything that arrived before them, then whole prompts in the order of arrival.
 */
export function replayPrefill(load: EndpointLoad, nowMs: number): readonly PendingPrefill[] {
    const prefills = load.assignments.filter(assignment => assignment.prefillMs > 0);
    const events = prefills
        .flatMap((assignment): readonly (readonly [number, Assignment])[] => [
            [assignment.startedAtMs, assignment],
            ...(assignment.prefilledAtMs === undefined ? [] : [[assignment.prefilledAtMs, assignment] as const]),
        ])
        .sort(([a], [b]) => a - b);
    let queue: PendingPrefill[] = [];
    let atMs = -Infinity;
    for (const [eventAtMs, assignment] of events) {
        queue = advancePrefill(queue, eventAtMs - atMs);
        atMs = eventAtMs;
        if (eventAtMs === assignment.prefilledAtMs) {
            queue = queue.filter(prefill => prefill.assignment !== assignment);
            continue;
        }
        const arrived = { assignment, remainingMs: assignment.prefillMs * load.slowdown };
        queue = isSharded(assignment) ? [arrived, ...queue] : [...queue, arrived];
    }
    return addOverdue(advancePrefill(queue, nowMs - atMs), prefills);
}

/**
 * Advances the queue by a time, and drops the prefills that end within it; only an answer confirms that one has ended.
 */
function advancePrefill(queue: readonly PendingPrefill[], ms: number): PendingPrefill[] {
    let availableMs = ms;
    const stillPending: PendingPrefill[] = [];
    for (const prefill of queue) {
        const spentMs = Math.min(availableMs, prefill.remainingMs);
        availableMs -= spentMs;
        if (prefill.remainingMs > spentMs) {
            stillPending.push({ ...prefill, remainingMs: prefill.remainingMs - spentMs });
        }
    }
    return stillPending;
}

/**
 * Adds whole prompts without an answer after their expected end, since their prefill is still running. Shards are
 * left out, because they may be waiting for shards at other endpoints.
 */
function addOverdue(pending: readonly PendingPrefill[], prefills: readonly Assignment[]): readonly PendingPrefill[] {
    const overdue = prefills
        .filter(assignment => assignment.prefilledAtMs === undefined && !isSharded(assignment))
        .filter(assignment => !pending.some(prefill => prefill.assignment === assignment))
        .map(assignment => ({ assignment, remainingMs: assignment.prefillMs * OVERDUE_FRACTION }));
    return [...pending, ...overdue];
}

/** Time until all pending prefills of the endpoint are complete, in milliseconds. */
export const estimateBacklogMs = (pending: readonly PendingPrefill[]): number =>
    pending.reduce((sum, { remainingMs }) => sum + remainingMs, 0);
