/** Which endpoint is to hold which model. */
import type { EndpointId, FailureDomainId, ModelId, PoolId } from "@currantrill/protocol";

/** An endpoint as placement sees it: configured, and with what its last report said. */
export interface PlacementEndpoint {
    readonly endpoint: EndpointId;
    readonly pool: PoolId;
    readonly failureDomain: FailureDomainId;
    /** Whether it can be given orders: lent, and reachable or only briefly silent. */
    readonly isUsable: boolean;
    /** Loaded models as `<name>@<version>`. */
    readonly models: readonly string[];
}

/** A model version, or an adapter of it, that an endpoint is to hold and does not. */
export interface NeededLoad {
    readonly endpoint: EndpointId;
    readonly failureDomain: FailureDomainId;
    readonly model: ModelId;
    readonly version: string;
    /** `undefined` for the model itself. */
    readonly adapter: string | undefined;
    /** Copies in the pool now. The fewer there are, the more the load is needed. */
    readonly copies: number;
}

/** Name under which reports list an adapter. */
export const formatAdapterName = (model: string, adapter: string): string => `${model}/${adapter}`;

export const formatModelVersion = (model: { readonly name: string; readonly version: string; }): string =>
    `${model.name}@${model.version}`;
