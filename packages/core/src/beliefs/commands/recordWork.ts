/** Changes of a view by the host's own requests. */
import type { AttemptId } from "@currantrill/protocol";
import type { EndpointView, OwnWork } from "../model/endpointView.js";
import { estimateLoad } from "../queries/estimateLoad.js";

/** Records a request sent to the endpoint. */
export function recordSend(view: EndpointView, work: Omit<OwnWork, "inPrefill">): EndpointView {
    return setOwnWork(view, [...view.ownWork, { ...work, inPrefill: true }]);
}

/** Records that the first token of a request has arrived: its prefill is finished. */
export function recordFirstToken(view: EndpointView, attempt: AttemptId): EndpointView {
    return setOwnWork(
        view,
        view.ownWork.map(entry => entry.attempt === attempt ? { ...entry, inPrefill: false } : entry),
    );
}

/** Records that a request has ended, in whatever way. */
export function recordEnd(view: EndpointView, attempt: AttemptId): EndpointView {
    return setOwnWork(view, view.ownWork.filter(entry => entry.attempt !== attempt));
}

/** Keeps new work away from the endpoint until `untilMs`, after a failure. */
export function markSuspect(view: EndpointView, untilMs: number): EndpointView {
    return { ...view, suspectUntilMs: Math.max(view.suspectUntilMs, untilMs) };
}

/** Clears the suspicion after the endpoint has answered. */
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

function setOwnWork(view: EndpointView, ownWork: readonly OwnWork[]): EndpointView {
    return { ...view, ownWork, ...estimateLoad(view, view.report, ownWork) };
}
