import type { EndpointObservation } from "../../endpoints/model/endpointObservation.js";
import type { DigestMember, FleetDigest } from "../model/fleetDigest.js";
import type { FleetView } from "../model/fleetView.js";
import type { PeerHeader } from "../model/peerState.js";
import type { Peer, PeerTable } from "../model/peerTable.js";

export interface FleetDigestOptions {
    readonly header: PeerHeader;
    readonly fleet: FleetView;
    readonly table: PeerTable;
    /** `fleet`: for hosts of the sender's domain, with all its hosts. `domain`: for hosts of other domains. */
    readonly scope: "domain" | "fleet";
    readonly observations: readonly EndpointObservation[];
    /** Current time of the monotonic clock. */
    readonly nowMs: number;
}

/** Builds a digest without assignments. */
export function buildFleetDigest(options: FleetDigestOptions): FleetDigest {
    const { header, fleet, table, scope, observations, nowMs } = options;
    const describePeer = (peer: Peer): DigestMember => ({
        address: peer.address,
        failureDomain: peer.failureDomain ?? header.failureDomain,
        capacity: peer.capacity,
        isStoreUnavailable: peer.isStoreUnavailable,
        ageMs: Math.max(0, nowMs - peer.lastAliveAtMs),
    });
    const localCoordinators = fleet.listCoordinators(header.failureDomain);
    const local = fleet.listLocalPeers().filter(peer => scope === "fleet" || localCoordinators.includes(peer.address));
    const remote = fleet.listRemoteCoordinators().flatMap(address => table.get(address) ?? []);
    return {
        ...header,
        hostCounts: fleet.countByDomain(),
        members: [...local, ...remote].map(describePeer),
        observations,
        assignments: [],
    };
}
