/** Handlers of the messages that a connected peer sends. */
import { advanceStart, recordHeartbeat, recordHeartbeatAnswer } from "@currantrill/core";
import { type PeerMessage, toHostId } from "@currantrill/protocol";
import {
    receiveConfiguration,
    recordPeerRevision,
    sendConfiguration,
} from "../../configuration/commands/broadcastConfiguration.js";
import { updateFreshness } from "../../configuration/commands/updateFreshness.js";
import { computeConfirmationAge } from "../../configuration/queries/computeConfirmationAge.js";
import type { HostContext } from "../../model/hostContext.js";
import type { PeerConnection } from "../model/fleet.js";
import { receiveFacts, sendSnapshot } from "./receiveFacts.js";
import { sendMessage } from "./sendMessage.js";

type HandlerOf<K extends PeerMessage["type"]> = (
    context: HostContext,
    connection: PeerConnection,
    message: Extract<PeerMessage, { type: K; }>,
) => void;

const handlers: { readonly [K in PeerMessage["type"]]: HandlerOf<K>; } = {
    // The first hello has registered the connection; a repeated one adds no information.
    hello: () => undefined,
    ping: (context, connection, message) => {
        sendMessage(context, connection.socket, {
            type: "pong",
            sequence: message.sequence,
            revision: context.configuration.current.revision,
            confirmationAgeMs: computeConfirmationAge(context.configuration),
        });
        recordPeerRevision(context, connection, message.revision);
    },
    pong: (context, connection, message) => {
        const sentAt = connection.pings.get(message.sequence);
        if (sentAt === undefined) {
            return;
        }
        connection.pings.clear();
        connection.lastPongAtMs = performance.now();
        recordPeerHeartbeat(context, connection);
        recordPeerRevision(context, connection, message.revision);
        const { freshness, current } = context.configuration;
        updateFreshness(context, recordHeartbeatAnswer(freshness, sentAt, message, current.revision));
    },
    facts: (context, connection, message) => receiveFacts(context, connection.host, message.facts),
    snapshotRequest: (context, connection, message) => {
        connection.revision = message.revision;
        // The configuration is sent first, so that a peer that has received the snapshot has received both.
        sendConfiguration(context, connection);
        sendSnapshot(context, connection);
    },
    snapshot: (context, connection, message) => {
        receiveFacts(context, connection.host, message.facts);
        recordPeerRevision(context, connection, message.revision);
        recordSeedSnapshot(context, connection);
    },
    configuration: (context, connection, message) => receiveConfiguration(context, connection, message),
    ownerQuery: (context, connection, message) => {
        const isSameIncarnation = message.incarnation === context.incarnation;
        const alive = isSameIncarnation ? context.fleet.listAliveAttempts(message.attempts) : [];
        sendMessage(context, connection.socket, {
            type: "ownerAnswer",
            id: message.id,
            incarnation: context.incarnation,
            alive,
        });
    },
    ownerAnswer: (context, _connection, message) => context.fleet.pendingOwnerQueries.get(message.id)?.(message),
    leaving: (context, connection, message) => {
        const member = context.fleet.membership.members.get(message.host);
        if (member?.incarnation === connection.incarnation) {
            const now = performance.now();
            context.fleet.membership = recordHeartbeat(context.fleet.membership, { ...member, leaving: true }, now);
        }
    },
};

export function handlePeerMessage(context: HostContext, connection: PeerConnection, message: PeerMessage): void {
    const handle = handlers[message.type] as HandlerOf<PeerMessage["type"]>;
    handle(context, connection, message);
}

/** Records a heartbeat of the connected peer, unless the membership has a newer incarnation of the host. */
function recordPeerHeartbeat(context: HostContext, connection: PeerConnection): void {
    const member = context.fleet.membership.members.get(connection.host);
    if (member?.incarnation === connection.incarnation) {
        context.fleet.membership = recordHeartbeat(context.fleet.membership, member, performance.now());
    }
}

/**
 * Records at startup that a seed has sent its snapshot. The seed sends its configuration before the snapshot, so that
 * it is active by now.
 */
function recordSeedSnapshot({ fleet, configuration: state }: HostContext, connection: PeerConnection): void {
    const peer = toHostId(fleet.membership.members.get(connection.host)?.peerAddress ?? "");
    if (state.start.seeds.has(peer)) {
        const event = { type: "snapshotReceived", peer, configuration: state.current } as const;
        state.start = advanceStart(state.start, event);
    }
}
