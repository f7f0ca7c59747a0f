/** Updates of a view by this host's attempts and by changes of the endpoint's availability. */
import type { AttemptId } from "@currantrill/protocol";
import type { EndpointView, LocalAttempt } from "../model/endpointView.js";
import { estimateLoad } from "../queries/estimateLoad.js";

export function recordAttemptStart(view: EndpointView, attempt: Omit<LocalAttempt, "inPrefill">): EndpointView {
    return setLocalAttempts(view, [...view.localAttempts, { ...attempt, inPrefill: true }]);
}

/** Records that the first token of an attempt has arrived, so that its prefill is finished. */
export function recordFirstToken(view: EndpointView, attempt: AttemptId): EndpointView {
    return setLocalAttempts(
        view,
        view.localAttempts.map(entry => entry.attempt === attempt ? { ...entry, inPrefill: false } : entry),
    );
}

/** Records that an attempt has ended, whether it finished, failed or was cancelled. */
export function recordAttemptEnd(view: EndpointView, attempt: AttemptId): EndpointView {
    return setLocalAttempts(view, view.localAttempts.filter(entry => entry.attempt !== attempt));
}

/** Excludes the endpoint from new work until `untilMs`, after a failure. */
export function markSuspect(view: EndpointView, untilMs: number): EndpointView {
    return { ...view, suspectUntilMs: Math.max(view.suspectUntilMs, untilMs) };
}

/** Ends the exclusion of `markSuspect` after the endpoint has answered. */
export function clearSuspect(view: EndpointView): EndpointView {
    return { ...view, suspectUntilMs: 0 };
}

/** Sets whether the lending rules allow new work. */
export function setUsable(view: EndpointView, usable: boolean): EndpointView {
    return view.usable === usable ? view : { ...view, usable };
}

/** Sets whether the endpoint can be reached, such as after the loss of a failure domain. */
export function setReachable(view: EndpointView, reachable: boolean): EndpointView {
    return view.reachable === reachable ? view : { ...view, reachable };
}

function setLocalAttempts(view: EndpointView, localAttempts: readonly LocalAttempt[]): EndpointView {
    return { ...view, localAttempts, ...estimateLoad(view, view.report, localAttempts) };
}
