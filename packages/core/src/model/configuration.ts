/** The configuration: a set of objects that tickets change atomically. The revisions are totally ordered. */
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
    /** Workspace that owns the pool; its requests take precedence on the pool's endpoints. */
    readonly owner: WorkspaceId;
    /** Whether the endpoints are model engines or instances of an HTTP service. */
    readonly serves: "engine" | "service";
}

/** One model engine or instance of a service, with its lending state and its published capacity. */
export interface EndpointObject {
    readonly kind: "endpoint";
    readonly name: EndpointId;
    readonly pool: PoolId;
    readonly url: string;
    readonly failureDomain: FailureDomainId;
    /** Whether hosts may send work to the endpoint (`lent`) or its owner has taken it back (`reclaimed`). */
    readonly lending: "lent" | "reclaimed";
    /** Increased by a ticket that lends the endpoint again after a local stop. */
    readonly lendEpoch: number;
    /**
     * Longest time for which a host may use the endpoint after its configuration was last confirmed, in milliseconds.
     */
    readonly maxSilenceMs: number;
    /** Time that requests in flight have to end after a reclaim, in milliseconds. */
    readonly graceMs: number;
    /** Whether the endpoint refuses an order with an outdated fencing token. */
    readonly checksFencing: boolean;
    /** KV memory in tokens; 0 for a service. */
    readonly memoryTokens: number;
    /** Requests that run at the same time. */
    readonly slots: number;
    /** Published prefill rate of an engine. */
    readonly prefillTokensPerSecond: number;
    /** Published decode rate of one stream of an engine. */
    readonly decodeTokensPerSecond: number;
}

/** A workspace with its key and its entitlement, which holds over all hosts together. */
export interface WorkspaceObject {
    readonly kind: "workspace";
    readonly name: WorkspaceId;
    /** SHA-256 of the workspace key in lower-case hexadecimal. */
    readonly keySha256: string;
    readonly tokensPerSecond: number;
    /** Tokens that may be used at once after a period of lower use: the capacity of the token bucket. */
    readonly burstTokens: number;
    /** Requests that may run or be queued at the same time. */
    readonly maxConcurrent: number;
    /** Weight of the workspace under contention, relative to other workspaces. */
    readonly weight: number;
}

/** Lets a workspace use pools, in order of preference. */
export interface RuleObject {
    readonly kind: "rule";
    readonly name: string;
    readonly workspace: WorkspaceId;
    readonly pools: readonly PoolId[];
    /** Largest fraction of a borrowed pool's slots that the workspace may hold, above 0 and at most 1. */
    readonly maxShare: number;
}

/** A model version with its adapters, and the pools whose endpoints are to load it. */
export interface ModelObject {
    readonly kind: "model";
    readonly name: ModelId;
    readonly version: string;
    readonly adapters: readonly string[];
    readonly pools: readonly PoolId[];
    /** Number of endpoints in each pool that load the model. */
    readonly replicas: number;
    readonly maxPromptTokens: number;
}

/** Matches calls of a service by method and path. */
export interface ServiceOperation {
    /** HTTP method, or `*`. */
    readonly method: string;
    /** Path prefix below the service. */
    readonly path: string;
    /** Whether a call may be retried without a record of its outcome. */
    readonly idempotent: boolean;
}

/** An HTTP service that the endpoints of a pool serve. */
export interface ServiceObject {
    readonly kind: "service";
    readonly name: ServiceId;
    readonly pool: PoolId;
    /** The first matching operation applies. A call that matches none is treated as not idempotent. */
    readonly operations: readonly ServiceOperation[];
}

/** Whether a failure domain takes new work. A domain without an object is in service. */
export interface DomainObject {
    readonly kind: "domain";
    readonly name: FailureDomainId;
    /** `evacuated`: no host sends new work to the endpoints of the domain. */
    readonly state: DomainState;
}

export type DomainState = "evacuated" | "in_service";

export type ConfigurationObject =
    | PoolObject
    | EndpointObject
    | WorkspaceObject
    | RuleObject
    | ModelObject
    | ServiceObject
    | DomainObject;
export type ObjectKind = ConfigurationObject["kind"];
/** Key of an object in the configuration: `<kind>/<name>`. */
export type ObjectKey = `${ObjectKind}/${string}`;

export interface StoredObject {
    /** Ticket that last set the object. */
    readonly ticket: TicketNumber;
    readonly body: ConfigurationObject;
}

/** All objects at one revision. JSON-serializable: the platform stores it and peers receive it unchanged. */
export interface Configuration {
    readonly revision: Revision;
    readonly objects: Readonly<Record<ObjectKey, StoredObject>>;
}

/** A change ticket: the complete new state of each object that it sets, and the objects that it removes. */
export interface Ticket {
    readonly number: TicketNumber;
    readonly summary: string;
    readonly objects: readonly TicketObject[];
    readonly removals: readonly TicketRemoval[];
}

/**
 * An object that a ticket sets. The ticket is refused if the object has changed since the ticket that `replaces` names.
 */
export interface TicketObject {
    /** Number of the ticket that last set the object; 0 if there is none. */
    readonly replaces: TicketNumber;
    readonly body: ConfigurationObject;
}

export interface TicketRemoval {
    readonly kind: ObjectKind;
    readonly name: string;
    /** Number of the ticket that last set the object. */
    readonly replaces: TicketNumber;
}

/** The configuration before the first ticket. */
export const emptyConfiguration: Configuration = { revision: toRevision(0), objects: {} };
