/** What a host tells its peers about itself. Each message is complete, so that a lost one does no harm. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointSighting } from "../../endpoints/model/endpointSighting.js";
import type { Booking } from "../../placement/model/booking.js";

export interface PeerState {
    /** IP address and port of the host for peers. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    /** Start of the host's process; a restarted host has a later one. */
    readonly incarnation: number;
    /** Number of the message within the incarnation. */
    readonly sequence: number;
    readonly isLeaving: boolean;
    /** Whether the host has no news from the store: its last call failed. */
    readonly hasLostStore: boolean;
    /** Positions in the store's order of the newest change that the host knows, by table. */
    readonly changedAt: Readonly<Record<string, number>>;
    /** Hosts heard by the sender, in messages that are sent at intervals; empty in others. */
    readonly hosts: readonly string[];
    /** What the host has seen of endpoints lately. */
    readonly sightings: readonly EndpointSighting[];
    /** Work of the host, with times as ages. */
    readonly bookings: readonly Booking[];
}
