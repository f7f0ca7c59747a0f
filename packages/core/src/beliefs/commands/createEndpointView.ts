import type { WorkspaceId } from "@currantrill/protocol";
import type { EndpointObject } from "../../model/configuration.js";
import { emptyReport, type EndpointView } from "../model/endpointView.js";
import { estimateLoad } from "../queries/estimateLoad.js";

/** Creates the view of an endpoint from its configuration, before the first report. */
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
        ownWork: [],
        drainedAtMs: 0,
        freeMemoryTokens: endpoint.memoryTokens,
        freeSlots: endpoint.slots,
        ownShortTokens: 0,
        ownUrgentTokens: 0,
        ownLongPrefills: 0,
    };
}

/** Applies a changed configuration to a view: `fresh` is the new description, load and own work are kept. */
export function updateDescription(view: EndpointView, fresh: EndpointView): EndpointView {
    const { report, ownWork, suspectUntilMs, reachable } = view;
    const models = report.sequence > 0 ? view.models : fresh.models;
    return { ...fresh, models, reachable, suspectUntilMs, report, ownWork, ...estimateLoad(fresh, report, ownWork) };
}
