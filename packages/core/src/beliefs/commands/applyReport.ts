import type { EndpointDigest } from "@currantrill/protocol";
import type { EndpointView, LoadReport } from "../model/endpointView.js";
import { sumOwnLoad } from "../queries/sumOwnLoad.js";

/** Replaces the report of a view. An older report than the one held is ignored. */
export function applyReport(view: EndpointView, report: LoadReport): EndpointView {
    if (report.observedAtMs < view.report.observedAtMs) {
        return view;
    }
    return { ...view, report, ownLoad: sumOwnLoad(view.ownWork, report.observedAtMs) };
}

/** Applies a digest of a watcher that arrived at `now`. */
export function applyDigest(view: EndpointView, digest: EndpointDigest, now: number): EndpointView {
    const updated = applyReport(view, {
        sequence: digest.reportSequence,
        observedAtMs: now - digest.ageMs,
        queuedPrefillTokens: digest.queuedPrefillTokens,
        runningRequests: digest.runningRequests,
        memoryUsedTokens: digest.memoryUsedTokens,
    });
    return updated === view ? view : {
        ...updated,
        reachable: digest.reachable,
        models: new Set(digest.models),
        slots: digest.slots,
        memoryTokens: digest.memoryTotalTokens,
    };
}
