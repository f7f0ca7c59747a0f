/** Placement decides which endpoint is to hold which model. */
import type { EndpointId, FailureDomainId, ModelId, PoolId } from "@currantrill/protocol";

/** Endpoint as seen by placement, from the configuration and its last load report. */
export interface PlacementEndpoint {
    readonly endpoint: EndpointId;
    readonly pool: PoolId;
    readonly failureDomain: FailureDomainId;
    /** Whether orders can be sent to it: it is lent, not evacuated, and reachable or unresponsive only for a short time. */
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
    /** Copies in the pool now. The fewer there are, the more urgent the load is. */
    readonly copies: number;
}

/** Formats the name under which load reports list an adapter. */
export const formatAdapterName = (model: string, adapter: string): string => `${model}/${adapter}`;

/** Formats the name under which load reports list a model, `<name>@<version>`. */
export const formatModelVersion = (model: { readonly name: string; readonly version: string; }): string =>
    `${model.name}@${model.version}`;
