import { toEndpointId, toFailureDomainId, toModelId, toPoolId, toWorkspaceId } from "@currantrill/protocol";
import { createEndpointView, type EndpointView } from "../src/index.js";

/** Creates the view of an idle engine in failure domain `local` and a pool of workspace `owner`, with `changes`. */
export function createView(name: string, changes: Partial<EndpointView> = {}): EndpointView {
    const view = createEndpointView(
        {
            kind: "endpoint",
            name: toEndpointId(name),
            pool: toPoolId("pool"),
            url: "",
            failureDomain: toFailureDomainId("local"),
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
