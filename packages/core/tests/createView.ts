import { toEndpointId, toFailureDomainId, toModelId, toPoolId, toWorkspaceId } from "@currantrill/protocol";
import { createEndpointView, type EndpointView } from "../src/index.js";

/** A view of an idle engine of pool owner `owner` in domain `here`, with changes. */
export function createView(name: string, changes: Partial<EndpointView> = {}): EndpointView {
    const view = createEndpointView(
        {
            kind: "endpoint",
            name: toEndpointId(name),
            pool: toPoolId("pool"),
            url: "",
            failureDomain: toFailureDomainId("here"),
            lending: "lent",
            lendEpoch: 0,
            maxSilenceMs: 0,
            graceMs: 0,
            checksFencing: true,
            memoryTokens: 400_000,
            slots: 8,
            prefillTokensPerSecond: 10_000,
            decodeTokensPerSecond: 50,
        },
        toWorkspaceId("owner"),
        [toModelId("model")],
    );
    return { ...view, ...changes };
}
