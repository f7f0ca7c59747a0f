import type { EndpointDigest } from "@currantrill/protocol";
import type { EndpointView, LoadReport } from "../model/endpointView.js";
import { estimateLoad } from "../queries/estimateLoad.js";

/** Replaces the load report of a view. A report older than the current one is ignored. */
export function applyReport(view: EndpointView, report: LoadReport): EndpointView {
    if (report.observedAtMs < view.report.observedAtMs) {
        return view;
    }
    return { ...view, report, ...estimateLoad(view, report, view.localAttempts) };
}

/** Applies a load digest, which a monitor of the endpoint published and this host received at `now`. */
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
