/** Maintains and pings the peer connections that the topology requires of this host. */
import { listConnections, listLiveHosts } from "@currantrill/core";
import { readClocks } from "@currantrill/protocol";
import type { HostId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { PEER_TIMEOUT_MS, type PeerConnection } from "../model/fleet.js";
import { openConnection } from "./openConnection.js";
import { sendMessage } from "./sendMessage.js";

/** Time for which an unneeded connection stays open, so that it does not flap while the membership changes. */
const UNNEEDED_CLOSE_DELAY_MS = 10_000;
/** Time for which the host with the greater id leaves it to the other host to open a missing connection. */
const PASSIVE_OPEN_DELAY_MS = 2_000;

/**
 * Pings the peers, closes timed-out and unneeded connections, and opens missing ones. `missingSince` keeps between
 * calls the monotonic time, in milliseconds, since which each needed connection has been missing.
 */
export function updateConnections(context: HostContext, missingSince: Map<HostId, number>): void {
    const { fleet } = context;
    const now = performance.now();
    const needed = new Set(listConnections(fleet.membership, now));
    for (const connection of fleet.connections.values()) {
        if (needed.has(connection.host)) {
            connection.lastNeededAtMs = now;
        }
        checkConnection(context, connection, now);
    }
    for (const host of needed) {
        if (fleet.connections.has(host)) {
            missingSince.delete(host);
            continue;
        }
        const sinceMs = missingSince.get(host) ?? now;
        missingSince.set(host, sinceMs);
        const address = fleet.membership.members.get(host)?.peerAddress;
        // The host with the smaller id opens the connection, so that two hosts do not open two at the same time.
        if (address !== undefined && (fleet.self < host || now - sinceMs > PASSIVE_OPEN_DELAY_MS)) {
            openConnection(context, address);
        }
    }
    connectToSeeds(context, now);
}

/** Terminates a connection without a recent pong, closes an unneeded outbound one, and pings the peer otherwise. */
function checkConnection(context: HostContext, connection: PeerConnection, now: number): void {
    const { socket, host } = connection;
    if (now - connection.lastPongAtMs > PEER_TIMEOUT_MS) {
        context.log.warn({ peer: host }, "peers: no pong in time, connection closed");
        socket.terminate();
        return;
    }
    if (connection.isOutbound && now - connection.lastNeededAtMs > UNNEEDED_CLOSE_DELAY_MS) {
        socket.close();
        return;
    }
    const { fleet } = context;
    fleet.messageSequence += 1;
    connection.pings.set(fleet.messageSequence, readClocks());
    const { revision } = context.configuration.current;
    sendMessage(context, socket, { type: "ping", sequence: fleet.messageSequence, revision });
}

/** Connects to the seeds at startup, and again whenever this host sees no other live host. */
function connectToSeeds(context: HostContext, now: number): void {
    const { fleet, configuration } = context;
    const isIsolated = listLiveHosts(fleet.membership, now).length <= 1;
    for (const [address, state] of configuration.start.seeds) {
        if (isIsolated || state === "asked") {
            openConnection(context, address);
        }
    }
}
