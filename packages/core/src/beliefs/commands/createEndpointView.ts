import type { WorkspaceId } from "@currantrill/protocol";
import type { EndpointObject } from "../../model/configuration.js";
import { emptyOwnLoad, emptyReport, type EndpointView } from "../model/endpointView.js";

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
        ownLoad: emptyOwnLoad,
    };
}
