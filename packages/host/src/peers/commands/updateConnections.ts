/** Keeps the connections that this host should have, and pings them. */
import { listConnections, listLiveHosts } from "@currantrill/core";
import type { HostId } from "@currantrill/protocol";
import { readClocks } from "../../configuration/model/configurationHolder.js";
import type { HostContext } from "../../model/hostContext.js";
import { PEER_SILENCE_MS, type PeerConnection } from "../model/fleet.js";
import { openConnection } from "./openConnection.js";
import { sendMessage } from "./sendMessage.js";

/** Time for which a connection that is no longer needed stays open, so that changing views do not make it flap. */
const UNNEEDED_MS = 10_000;
/** Time that the other side has to open a connection before this side does. */
const PASSIVE_MS = 2_000;

/** One round: pings, closes silent and unneeded connections, and opens missing ones. */
export function updateConnections(context: HostContext, missingSince: Map<HostId, number>): void {
    const { fleet } = context;
    const now = performance.now();
    const needed = new Set(listConnections(fleet.membership, now));
    for (const connection of fleet.connections.values()) {
        if (needed.has(connection.host)) {
            connection.neededAtMs = now;
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
        // Of two hosts the one with the smaller id opens, so that they do not open two connections at a time.
        if (address !== undefined && (fleet.self < host || now - sinceMs > PASSIVE_MS)) {
            openConnection(context, address);
        }
    }
    openSeeds(context, now);
}

function checkConnection(context: HostContext, connection: PeerConnection, now: number): void {
    const { socket, host } = connection;
    if (now - connection.lastPongAtMs > PEER_SILENCE_MS) {
        context.log.warn({ peer: host }, "peers: connection silent, closed");
        socket.terminate();
        return;
    }
    if (connection.isOwn && now - connection.neededAtMs > UNNEEDED_MS) {
        socket.close();
        return;
    }
    const { fleet } = context;
    fleet.pingSequence += 1;
    connection.pings.set(fleet.pingSequence, readClocks());
    const { revision } = context.configuration.current;
    sendMessage(context, socket, { type: "ping", sequence: fleet.pingSequence, revision });
}

/** Opens the seeds at start, and again when the host has lost sight of every other host. */
function openSeeds(context: HostContext, now: number): void {
    const { fleet, configuration } = context;
    const isAlone = listLiveHosts(fleet.membership, now).length <= 1;
    for (const [address, state] of configuration.start.seeds) {
        if (isAlone || state === "asked") {
            openConnection(context, address);
        }
    }
}
