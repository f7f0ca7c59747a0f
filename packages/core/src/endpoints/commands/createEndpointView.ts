import type { WorkspaceId } from "@currantrill/protocol";
import type { EndpointObject } from "../../model/configuration.js";
import { emptyReport, type EndpointView } from "../model/endpointView.js";
import { estimateLoad } from "../queries/estimateLoad.js";

/** Creates the view of an endpoint from its configuration, before the first load report. */
export function createEndpointView(
    endpoint: EndpointObject,
    poolOwner: WorkspaceId,
    models: readonly string[],
): EndpointView {
    return {
        endpoint: endpoint.name,
        pool: endpoint.pool,
        poolOwner,
        failureDomain: endpoint.failureDomain,
        models: new Set(models),
        memoryTokens: endpoint.memoryTokens,
        slots: endpoint.slots,
        prefillTokensPerSecond: endpoint.prefillTokensPerSecond,
        decodeTokensPerSecond: endpoint.decodeTokensPerSecond,
        usable: endpoint.lending === "lent",
        reachable: true,
        suspectUntilMs: 0,
        report: emptyReport,
        localAttempts: [],
        drainedAtMs: 0,
        freeMemoryTokens: endpoint.memoryTokens,
        freeSlots: endpoint.slots,
        localShortTokens: 0,
        localShortAndMediumTokens: 0,
        localLongPrefills: 0,
    };
}

/**
 * Applies a changed configuration to a view. `created` is the view that `createEndpointView` made of it; the load
 * report, the reachability and the attempts of this host are kept, and so are the models once the endpoint has reported
 * any.
 */
export function updateViewConfiguration(view: EndpointView, created: EndpointView): EndpointView {
    const { report, localAttempts, suspectUntilMs, reachable } = view;
    const models = report.sequence > 0 ? view.models : created.models;
    return {
        ...created,
        models,
        reachable,
        suspectUntilMs,
        report,
        localAttempts,
        ...estimateLoad(created, report, localAttempts),
    };
}
