/** Messages between hosts, sent as msgpack over WebSocket connections. */
import type { AttemptId, EndpointId, FailureDomainId, HostId, IncarnationId, Revision, WorkspaceId } from "./ids.js";

/** State of an endpoint as its watcher last saw it. */
export interface EndpointDigest {
    readonly kind: "endpoint";
    readonly endpoint: EndpointId;
    readonly reportSequence: number;
    readonly queuedPrefillTokens: number;
    readonly runningRequests: number;
    readonly slots: number;
    readonly memoryUsedTokens: number;
    readonly memoryTotalTokens: number;
    readonly models: readonly string[];
    readonly withdrawn: boolean;
    readonly reachable: boolean;
    /** Age of the report when the digest was made. */
    readonly ageMs: number;
}

/** A sign of life of a host, for the hosts that are not connected to it. */
export interface HostFact {
    readonly kind: "host";
    readonly host: HostId;
    readonly failureDomain: FailureDomainId;
    readonly peerAddress: string;
    readonly leaving: boolean;
    /** Revision of the configuration in force on the host. */
    readonly revision: Revision;
}

/** Entitlement demand of a host, or its sum over a failure domain. */
export interface DemandFact {
    readonly kind: "demand";
    /** Host, or failure domain for a sum. */
    readonly scope: HostId | FailureDomainId;
    readonly isDomainSum: boolean;
    /** Tokens per second that each active workspace asked for. */
    readonly demand: Readonly<Record<WorkspaceId, number>>;
}

/** A local stop: no new work on the endpoint until a ticket raises its lend epoch above this one. */
export interface StopFact {
    readonly kind: "stop";
    readonly endpoint: EndpointId;
    readonly lendEpoch: number;
    readonly reason: string;
}

export type Fact = EndpointDigest | HostFact | DemandFact | StopFact;

/** A fact with its origin. Of two with the same key the one with the higher sequence holds. */
export interface VersionedFact {
    /** `<kind>/<subject>`. */
    readonly key: string;
    readonly origin: HostId;
    readonly incarnation: IncarnationId;
    /** Wall clock of the origin in milliseconds, raised above every sequence that the origin has seen for the key. */
    readonly sequence: number;
    readonly fact: Fact;
}

export interface HelloMessage {
    readonly type: "hello";
    readonly host: HostId;
    readonly incarnation: IncarnationId;
    readonly failureDomain: FailureDomainId;
    readonly peerAddress: string;
    readonly revision: Revision;
}

export interface PingMessage {
    readonly type: "ping";
    readonly sequence: number;
    readonly revision: Revision;
}

export interface PongMessage {
    readonly type: "pong";
    readonly sequence: number;
    readonly revision: Revision;
    /** Time since the start of the platform read that confirmed the revision; `undefined` if there was none. */
    readonly confirmationAgeMs: number | undefined;
}

export interface FactsMessage {
    readonly type: "facts";
    readonly facts: readonly VersionedFact[];
}

/** Asks for the facts, and for the configuration if it is newer. */
export interface SnapshotRequestMessage {
    readonly type: "snapshotRequest";
    readonly revision: Revision;
}

export interface SnapshotMessage {
    readonly type: "snapshot";
    readonly facts: readonly VersionedFact[];
    readonly revision: Revision;
}

/** A configuration, whole or as the difference from an earlier one. */
export interface ConfigurationMessage {
    readonly type: "configuration";
    readonly revision: Revision;
    /** Revision that the difference starts from; `undefined` for a whole configuration. */
    readonly base: Revision | undefined;
    /** Serialized configuration, or serialized difference. */
    readonly configuration: string;
    /** Time since the start of the platform read that confirmed the revision; `undefined` if there was none. */
    readonly confirmationAgeMs: number | undefined;
}

/** Asks whether the host still knows the attempts that own memory on an engine. */
export interface OwnerQueryMessage {
    readonly type: "ownerQuery";
    readonly id: number;
    readonly incarnation: IncarnationId;
    readonly attempts: readonly AttemptId[];
}

export interface OwnerAnswerMessage {
    readonly type: "ownerAnswer";
    readonly id: number;
    readonly incarnation: IncarnationId;
    /** The subset of the asked attempts that is alive. */
    readonly alive: readonly AttemptId[];
}

export interface LeavingMessage {
    readonly type: "leaving";
    readonly host: HostId;
}

export type PeerMessage =
    | HelloMessage
    | PingMessage
    | PongMessage
    | FactsMessage
    | SnapshotRequestMessage
    | SnapshotMessage
    | ConfigurationMessage
    | OwnerQueryMessage
    | OwnerAnswerMessage
    | LeavingMessage;
