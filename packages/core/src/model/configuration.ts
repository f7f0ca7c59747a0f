/** The configuration that tickets build up: a total order of revisions of whole objects. */
import type {
    EndpointId,
    FailureDomainId,
    ModelId,
    PoolId,
    Revision,
    ServiceId,
    TicketNumber,
    WorkspaceId,
} from "@currantrill/protocol";
import { toRevision } from "@currantrill/protocol";

/** A group of endpoints that one workspace owns and lends. */
export interface PoolObject {
    readonly kind: "pool";
    readonly name: PoolId;
    /** Workspace whose own requests go first on the pool's endpoints. */
    readonly owner: WorkspaceId;
    readonly serves: "engine" | "service";
}

export interface EndpointObject {
    readonly kind: "endpoint";
    readonly name: EndpointId;
    readonly pool: PoolId;
    readonly url: string;
    readonly failureDomain: FailureDomainId;
    readonly lending: "lent" | "reclaimed";
    /** Raised by a ticket that lends the endpoint again after a local stop. */
    readonly lendEpoch: number;
    /** Longest use by a host without confirmed news of the configuration, in milliseconds. */
    readonly maxSilenceMs: number;
    /** Time that work in flight has after a reclaim, in milliseconds. */
    readonly graceMs: number;
    /** Whether the endpoint refuses an order with an old fencing number. */
    readonly checksFencing: boolean;
    /** KV memory in tokens; 0 for a service. */
    readonly memoryTokens: number;
    /** Requests that run at the same time. */
    readonly slots: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
}

export interface WorkspaceObject {
    readonly kind: "workspace";
    readonly name: WorkspaceId;
    /** SHA-256 of the workspace key in lower-case hexadecimal. */
    readonly keySha256: string;
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    readonly maxConcurrent: number;
    /** Share under contention, relative to other workspaces. */
    readonly weight: number;
}

/** Lets a workspace use pools, in order of preference. */
export interface RuleObject {
    readonly kind: "rule";
    readonly name: string;
    readonly workspace: WorkspaceId;
    readonly pools: readonly PoolId[];
    /** Largest part of a borrowed pool's slots that the workspace may hold, above 0 and at most 1. */
    readonly maxShare: number;
}

export interface ModelObject {
    readonly kind: "model";
    readonly name: ModelId;
    readonly version: string;
    readonly adapters: readonly string[];
    readonly pools: readonly PoolId[];
    /** Endpoints in each pool that hold the model. */
    readonly replicas: number;
    readonly maxPromptTokens: number;
}

export interface ServiceOperation {
    /** HTTP method, or `*`. */
    readonly method: string;
    /** Path prefix below the service. */
    readonly path: string;
    readonly idempotent: boolean;
}

export interface ServiceObject {
    readonly kind: "service";
    readonly name: ServiceId;
    readonly pool: PoolId;
    /** The first match counts. A call that matches none is treated as not idempotent. */
    readonly operations: readonly ServiceOperation[];
}

export type ConfigurationObject =
    | PoolObject
    | EndpointObject
    | WorkspaceObject
    | RuleObject
    | ModelObject
    | ServiceObject;
export type ObjectKind = ConfigurationObject["kind"];
/** `<kind>/<name>`. */
export type ObjectKey = `${ObjectKind}/${string}`;

export interface StoredObject {
    /** Ticket that last set the object. */
    readonly ticket: TicketNumber;
    readonly body: ConfigurationObject;
}

/** JSON-serializable, so that it can be stored in the platform and sent to peers as it is. */
export interface Configuration {
    readonly revision: Revision;
    readonly objects: Readonly<Record<ObjectKey, StoredObject>>;
}

/** A change ticket: the whole new state of each object that it touches. */
export interface Ticket {
    readonly number: TicketNumber;
    readonly summary: string;
    readonly objects: readonly TicketObject[];
    readonly removals: readonly TicketRemoval[];
}

export interface TicketObject {
    /** Number of the ticket that last set the object; 0 if there is none. */
    readonly replaces: TicketNumber;
    readonly body: ConfigurationObject;
}

export interface TicketRemoval {
    readonly kind: ObjectKind;
    readonly name: string;
    readonly replaces: TicketNumber;
}

export const emptyConfiguration: Configuration = { revision: toRevision(0), objects: {} };
