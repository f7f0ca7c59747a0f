/** Messages between hosts, encoded as MessagePack and sent over WebSocket connections. */
import type { AttemptId, EndpointId, FailureDomainId, HostId, IncarnationId, Revision, WorkspaceId } from "./ids.js";

/** Load digest of an endpoint: the part of its newest load report that its monitor gossips to the other hosts. */
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
    /** Age of the load report when the digest was created, in milliseconds. */
    readonly ageMs: number;
}

/** Announces that a host is alive, for hosts without a direct connection to it. */
export interface HostFact {
    readonly kind: "host";
    readonly host: HostId;
    readonly failureDomain: FailureDomainId;
    readonly peerAddress: string;
    readonly leaving: boolean;
    /** Revision of the host's active configuration. */
    readonly revision: Revision;
}

/** Entitlement demand of a host, or its sum over a failure domain. */
export interface DemandFact {
    readonly kind: "demand";
    /** The host, or the failure domain if `isDomainSum` is set. */
    readonly scope: HostId | FailureDomainId;
    readonly isDomainSum: boolean;
    /** Requested tokens per second of each active workspace. */
    readonly demand: Readonly<Record<WorkspaceId, number>>;
}

/** Stops new work on an endpoint until a ticket raises its lend epoch above `lendEpoch`. Works without the platform. */
export interface StopFact {
    readonly kind: "stop";
    readonly endpoint: EndpointId;
    readonly lendEpoch: number;
    readonly reason: string;
}

/** An entry of the gossiped state of a fleet. */
export type Fact = EndpointDigest | HostFact | DemandFact | StopFact;

/** A versioned gossip entry. Of two entries with the same key, the one with the higher sequence wins. */
export interface VersionedFact {
    /** `<kind>/<subject>`. */
    readonly key: string;
    readonly origin: HostId;
    readonly incarnation: IncarnationId;
    /**
     * Wall-clock milliseconds of the origin, but always higher than any sequence that the origin has seen for the key.
     */
    readonly sequence: number;
    readonly fact: Fact;
}

/** First message on a connection; identifies the sender. */
export interface HelloMessage {
    readonly type: "hello";
    readonly host: HostId;
    readonly incarnation: IncarnationId;
    readonly failureDomain: FailureDomainId;
    readonly peerAddress: string;
    readonly revision: Revision;
}

/** Heartbeat, answered by a `pong` with the same sequence. */
export interface PingMessage {
    readonly type: "ping";
    readonly sequence: number;
    readonly revision: Revision;
}

/** Response to a `ping`. */
export interface PongMessage {
    readonly type: "pong";
    readonly sequence: number;
    readonly revision: Revision;
    /** Milliseconds since the start of the platform read that confirmed the revision; `undefined` if there was none. */
    readonly confirmationAgeMs: number | undefined;
}

/** New or changed gossip entries. */
export interface FactsMessage {
    readonly type: "facts";
    readonly facts: readonly VersionedFact[];
}

/** Requests the gossip entries, and the configuration if it is newer than `revision`. */
export interface SnapshotRequestMessage {
    readonly type: "snapshotRequest";
    readonly revision: Revision;
}

/**
 * The gossip entries of the sender, and the revision of its configuration. A host of another failure domain receives
 * only the entries that cross between failure domains.
 */
export interface SnapshotMessage {
    readonly type: "snapshot";
    readonly facts: readonly VersionedFact[];
    readonly revision: Revision;
}

/** A configuration, complete or as a diff against an earlier revision. */
export interface ConfigurationMessage {
    readonly type: "configuration";
    readonly revision: Revision;
    /** Revision that the diff applies to; `undefined` for a complete configuration. */
    readonly base: Revision | undefined;
    /** Serialized configuration or diff. */
    readonly configuration: string;
    /** Milliseconds since the start of the platform read that confirmed the revision; `undefined` if there was none. */
    readonly confirmationAgeMs: number | undefined;
}

/** Ownership query: which of these attempts, which own memory on an engine, are still running on the host. */
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
    /** The queried attempts that are alive. */
    readonly alive: readonly AttemptId[];
}

/** Announces that the host is shutting down. */
export interface LeavingMessage {
    readonly type: "leaving";
    readonly host: HostId;
}

/** Any message between hosts, discriminated by `type`. */
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
