/** Peer state of a host: its view of the fleet, the gossip between hosts and the connections to other hosts. */
import {
    type Clocks,
    createMembership,
    emptyGossipState,
    type GossipState,
    type Membership,
    type SentFact,
} from "@currantrill/core";
import {
    type AttemptId,
    type FailureDomainId,
    type HostId,
    type IncarnationId,
    type OwnerAnswerMessage,
    type Revision,
    toFailureDomainId,
    toHostId,
    type VersionedFact,
} from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";
import type { WebSocket, WebSocketServer } from "ws";

/** Interval at which a host updates its peer connections and pings the connected peers. */
export const PING_INTERVAL_MS = 1_000;
/**
 * A connection without a pong for this long is closed and reopened. Also the time limit for the hello of a new
 * connection and for the answer to an owner query.
 */
export const PEER_TIMEOUT_MS = 3_000;
/** Interval at which queued facts are sent to the peers of the local failure domain. */
export const DOMAIN_BATCH_INTERVAL_MS = 500;
/** Interval at which queued facts are sent to the peers of other failure domains. */
export const REMOTE_BATCH_INTERVAL_MS = 5_000;
/** Interval at which a host publishes its heartbeat, the fact of kind `host`. */
export const HOST_FACT_INTERVAL_MS = 5_000;

/** An open WebSocket connection to a peer that has sent its hello. */
export interface PeerConnection {
    readonly host: HostId;
    readonly incarnation: IncarnationId;
    readonly failureDomain: FailureDomainId;
    readonly socket: WebSocket;
    /** Whether this host opened the connection. The side that opened it closes it when it is no longer needed. */
    readonly isOutbound: boolean;
    /** Send times of the pings since the last pong, by sequence number. */
    readonly pings: Map<number, Clocks>;
    /** Facts as last sent over a connection between failure domains, by fact key. Empty within a domain. */
    readonly sentFacts: Map<string, SentFact>;
    /** Monotonic time of the last pong, or of the hello before the first pong. */
    lastPongAtMs: number;
    /** Monotonic time at which the topology last required the connection. */
    lastNeededAtMs: number;
    /** Newest configuration revision that the peer is known to have or that was sent to it. */
    revision: Revision;
    /** Monotonic time at which the configuration was last sent to the peer. */
    configurationSentAtMs: number;
}

/** State of the attempts to open a connection to a peer address, for their backoff. */
export interface DialState {
    /** Number of times that the socket has closed since a connection was last established. */
    failures: number;
    /** Monotonic time before which no further attempt is made. */
    nextAttemptAtMs: number;
    /** Whether the socket of the last attempt is opening or open. */
    isOpening: boolean;
}

/** Called with each fact that is new to this host, including those that it publishes. */
export type FactListener = (versioned: VersionedFact) => void;

/** Peer state of a host. `HostContext` holds one for the lifetime of the process. */
export interface Fleet {
    /** Id of this host. */
    readonly self: HostId;
    readonly failureDomain: FailureDomainId;
    /** All known hosts with the times of their last heartbeats. */
    membership: Membership;
    /** Versioned gossip entries (facts) that this host has, and the keys of those queued for each connection. */
    gossip: GossipState;
    /** At most one for each peer. */
    readonly connections: Map<HostId, PeerConnection>;
    /** By peer address, because the id of a seed is known only after its hello. */
    readonly dialStates: Map<string, DialState>;
    readonly factListeners: Set<FactListener>;
    /** Handlers of the answers to owner queries without an answer yet, by query id. */
    readonly pendingOwnerQueries: Map<number, (answer: OwnerAnswerMessage) => void>;
    /**
     * Returns those of the given attempts that this host still runs. Returns all of them until the data path is
     * connected.
     */
    listAliveAttempts: (attempts: readonly AttemptId[]) => readonly AttemptId[];
    /** The server for connections that peers open; undefined until `startPeers`. */
    server: WebSocketServer | undefined;
    /** Last number given to a ping or to an owner query. */
    messageSequence: number;
    /** Whether a flush is scheduled for the end of the current event-loop iteration. */
    isFlushScheduled: boolean;
}

/** Creates the peer state with this host as the only member. */
export function createFleet(settings: HostSettings, incarnation: IncarnationId): Fleet {
    const self = toHostId(settings.host_id);
    const failureDomain = toFailureDomainId(settings.failure_domain);
    const info = { host: self, incarnation, failureDomain, peerAddress: settings.listen.peers, leaving: false };
    return {
        self,
        failureDomain,
        membership: createMembership(info, performance.now()),
        gossip: emptyGossipState,
        connections: new Map(),
        dialStates: new Map(),
        factListeners: new Set(),
        pendingOwnerQueries: new Map(),
        listAliveAttempts: attempts => attempts,
        server: undefined,
        messageSequence: 0,
        isFlushScheduled: false,
    };
}
