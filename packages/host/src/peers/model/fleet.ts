/** What a host knows of the fleet, and its connections to other hosts. */
import {
    type Clocks,
    createMembership,
    emptyFlood,
    type Flood,
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

export const PING_INTERVAL_MS = 1_000;
/** A connection without a pong for this long is closed and reopened. */
export const PEER_SILENCE_MS = 3_000;
export const DOMAIN_BATCH_MS = 500;
export const REMOTE_BATCH_MS = 5_000;
export const HOST_FACT_INTERVAL_MS = 5_000;

export interface PeerConnection {
    readonly host: HostId;
    readonly incarnation: IncarnationId;
    readonly failureDomain: FailureDomainId;
    readonly socket: WebSocket;
    /** Whether this host opened the connection, and so closes it when it is no longer needed. */
    readonly isOwn: boolean;
    /** Send times of the pings that wait for an answer, by sequence. */
    readonly pings: Map<number, Clocks>;
    /** Facts last sent over a connection between domains. */
    readonly sent: Map<string, SentFact>;
    lastPongAtMs: number;
    /** Last time that the connection was one of those to keep. */
    neededAtMs: number;
    /** Newest revision that the peer is known to have or that was sent to it. */
    revision: Revision;
    /** Time at which the configuration was last sent to the peer. */
    configurationSentAtMs: number;
}

/** Attempts to open a connection to an address. */
export interface Dial {
    failures: number;
    nextAtMs: number;
    isOpening: boolean;
}

export type FactListener = (versioned: VersionedFact) => void;

export interface Fleet {
    readonly self: HostId;
    readonly failureDomain: FailureDomainId;
    membership: Membership;
    flood: Flood;
    readonly connections: Map<HostId, PeerConnection>;
    /** By peer address. */
    readonly dials: Map<string, Dial>;
    readonly listeners: Set<FactListener>;
    readonly ownerQueries: Map<number, (answer: OwnerAnswerMessage) => void>;
    /** Names the attempts among those asked about that this host still runs. */
    listAliveAttempts: (attempts: readonly AttemptId[]) => readonly AttemptId[];
    server: WebSocketServer | undefined;
    pingSequence: number;
    /** Whether an immediate flush has been scheduled. */
    isFlushScheduled: boolean;
}

/** Creates a fleet that contains the host itself. */
export function createFleet(settings: HostSettings, incarnation: IncarnationId): Fleet {
    const self = toHostId(settings.host_id);
    const failureDomain = toFailureDomainId(settings.failure_domain);
    const info = { host: self, incarnation, failureDomain, peerAddress: settings.listen.peers, leaving: false };
    return {
        self,
        failureDomain,
        membership: createMembership(info, performance.now()),
        flood: emptyFlood,
        connections: new Map(),
        dials: new Map(),
        listeners: new Set(),
        ownerQueries: new Map(),
        listAliveAttempts: attempts => attempts,
        server: undefined,
        pingSequence: 0,
        isFlushScheduled: false,
    };
}
