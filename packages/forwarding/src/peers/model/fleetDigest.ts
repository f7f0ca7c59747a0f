/**
 * Summary of the fleet that the coordinators of a failure domain send to its hosts and to the coordinators of other
 * domains, so that no host exchanges messages with all others.
 */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointObservation } from "../../endpoints/model/endpointObservation.js";
import type { Assignment } from "../../placement/model/assignment.js";
import type { PeerHeader } from "./peerState.js";

/** A host that the sender of a digest counts as alive. */
export interface DigestMember {
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly capacity: number;
    readonly isStoreUnavailable: boolean;
    /** Time since the last message of the host, in milliseconds. */
    readonly ageMs: number;
}

export interface FleetDigest extends PeerHeader {
    /** Number of live hosts by failure domain. */
    readonly hostCounts: Readonly<Record<string, number>>;
    /** Live hosts of the recipient's domain, and the coordinators of the other domains. */
    readonly members: readonly DigestMember[];
    /** Merged observations: for hosts of the sender's domain those of the fleet, otherwise those of the domain. */
    readonly observations: readonly EndpointObservation[];
    /** Assignments of the sender's domain, for coordinators of other domains; otherwise empty. */
    readonly assignments: readonly Assignment[];
}
