import type { EndpointId } from "@currantrill/protocol";
import type { GangAction, GangAttempt, GangEvent, GangStep } from "../model/gangAttempt.js";
import { computeGangBackoff } from "../queries/computeGangBackoff.js";

/**
 * Advances an attempt by one event. `fraction` is a random number from 0 to 1 for the backoff.
 *
 * Allocations are requested one after the other in ascending endpoint order, and all held memory is released before
 * any wait. No attempt waits while it holds memory, so attempts of different hosts cannot deadlock.
 */
export function advanceGang(attempt: GangAttempt, event: GangEvent, now: number, fraction: number): GangStep {
    switch (event.kind) {
        case "planned":
            return startAllocations(attempt, event.members, now, fraction);
        case "allocated":
            return acceptAllocation(attempt, event.endpoint);
        case "refused":
            return attempt.phase === "allocating" && isNextMember(attempt, event.endpoint)
                ? retryLater(attempt, attempt.members.slice(0, attempt.allocated + 1), now, fraction)
                : { attempt, actions: [] };
        case "memberFailed":
            return isActive(attempt) && attempt.members.some(member => member.endpoint === event.endpoint)
                ? retryLater(attempt, attempt.members, now, fraction)
                : { attempt, actions: [] };
        case "answered":
            return attempt.phase === "running"
                ? {
                    attempt: { ...attempt, phase: "finished" },
                    actions: [{ kind: "release", members: attempt.members }],
                }
                : { attempt, actions: [] };
    }
}

const isActive = (attempt: GangAttempt): boolean => attempt.phase === "allocating" || attempt.phase === "running";

const isNextMember = (attempt: GangAttempt, endpoint: EndpointId): boolean =>
    attempt.members[attempt.allocated]?.endpoint === endpoint;

function startAllocations(
    attempt: GangAttempt,
    members: GangAttempt["members"] | undefined,
    now: number,
    fraction: number,
): GangStep {
    if (attempt.phase !== "waiting") {
        return { attempt, actions: [] };
    }
    const first = members?.[0];
    if (members === undefined || first === undefined) {
        return retryLater(attempt, [], now, fraction);
    }
    return {
        attempt: { ...attempt, phase: "allocating", members, allocated: 0, planCount: attempt.planCount + 1 },
        actions: [{ kind: "allocate", member: first }],
    };
}

function acceptAllocation(attempt: GangAttempt, endpoint: EndpointId): GangStep {
    if (attempt.phase !== "allocating" || !isNextMember(attempt, endpoint)) {
        // A late grant belongs to an abandoned plan. Unless it is released, the memory stays allocated until its time
        // to live ends.
        const isHeld = isActive(attempt)
            && attempt.members.slice(0, attempt.allocated).some(member => member.endpoint === endpoint);
        return { attempt, actions: isHeld ? [] : [{ kind: "release", members: [{ endpoint, tokens: 0 }] }] };
    }
    const allocated = attempt.allocated + 1;
    const next = attempt.members[allocated];
    return next === undefined
        ? {
            attempt: { ...attempt, allocated, phase: "running" },
            actions: [{ kind: "startPrefill", members: attempt.members }],
        }
        : { attempt: { ...attempt, allocated }, actions: [{ kind: "allocate", member: next }] };
}

/**
 * Releases all memory that may be held, including an allocation whose response was lost, and waits for the next plan.
 * The attempt fails if that plan would come too late.
 */
function retryLater(
    attempt: GangAttempt,
    heldMembers: GangAttempt["members"],
    now: number,
    fraction: number,
): GangStep {
    const releases: GangAction[] = heldMembers.length > 0 ? [{ kind: "release", members: heldMembers }] : [];
    const notBeforeMs = now + computeGangBackoff(now - attempt.startedAtMs, fraction);
    if (notBeforeMs > attempt.startDeadlineMs) {
        return { attempt: { ...attempt, phase: "failed", allocated: 0 }, actions: [...releases, { kind: "fail" }] };
    }
    return {
        attempt: { ...attempt, phase: "waiting", allocated: 0, notBeforeMs },
        actions: [...releases, { kind: "planAgain", atMs: notBeforeMs }],
    };
}
