import type { EndpointDigest } from "@currantrill/protocol";
import type { EndpointView, LoadReport } from "../model/endpointView.js";
import { estimateLoad } from "../queries/estimateLoad.js";

/** Replaces the report of a view. An older report than the one held is ignored. */
export function applyReport(view: EndpointView, report: LoadReport): EndpointView {
    if (report.observedAtMs < view.report.observedAtMs) {
        return view;
    }
    return { ...view, report, ...estimateLoad(view, report, view.ownWork) };
}

/** Applies a digest of a watcher that arrived at `now`. */
export function applyDigest(view: EndpointView, digest: EndpointDigest, now: number): EndpointView {
    const described = {
        ...view,
        reachable: digest.reachable,
        models: new Set(digest.models),
        slots: digest.slots,
        memoryTokens: digest.memoryTotalTokens,
    };
    const report = {
        sequence: digest.reportSequence,
        observedAtMs: now - digest.ageMs,
        queuedPrefillTokens: digest.queuedPrefillTokens,
        runningRequests: digest.runningRequests,
        memoryUsedTokens: digest.memoryUsedTokens,
    };
    return report.observedAtMs < view.report.observedAtMs ? view : applyReport(described, report);
}
