/**
 * State that a host announces to its peers. Each message carries the whole state, so that the next one makes up for a
 * lost one.
 */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointObservation } from "../../endpoints/model/endpointObservation.js";
import type { NoticeReport } from "../../notices/queries/noticeCodec.js";
import type { Assignment } from "../../placement/model/assignment.js";
import type { SharedEvidence } from "../../quarantine/model/sharedEvidence.js";

/** What every announcement says of its sender. */
export interface PeerHeader {
    /** IP address and port on which the host receives messages of peers. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    /** Start of the host's process, in Unix milliseconds; distinguishes a restarted host from its earlier run. */
    readonly incarnation: number;
    /** Sequence number of the message within the incarnation, over messages of all kinds. */
    readonly sequence: number;
    /** Processor capacity in cores. Hosts with the most capacity coordinate their failure domain. */
    readonly capacity: number;
    /** Whether the host is shutting down. */
    readonly isLeaving: boolean;
    /** Whether the host's last call to the store failed, so that it receives no changes from it. */
    readonly isStoreUnavailable: boolean;
    /** Version of the newest change that the host knows, by table. */
    readonly lastChangeVersions: Readonly<Record<string, number>>;
    /** What the host knows of parts of prompts that crash endpoints; absent if it knows nothing. */
    readonly evidence?: SharedEvidence;
    /** What endpoints state about themselves; absent in messages that only announce assignments. */
    readonly notices?: readonly NoticeReport[];
}

/** State of a host at the time of a message. */
export interface PeerState extends PeerHeader {
    /** Live peers of the sender in some heartbeats, so that hosts discover each other; empty in all other messages. */
    readonly hosts: readonly string[];
    readonly observations: readonly EndpointObservation[];
    /**
     * Id up to which all placement queries of the host are settled: their assignments are in this state, or have ended.
     */
    readonly settledQuery: number;
    /** Assignments of the host. On the wire their times are ages. */
    readonly assignments: readonly Assignment[];
}
