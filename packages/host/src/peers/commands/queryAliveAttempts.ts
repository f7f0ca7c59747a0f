import type { AttemptId, HostId, IncarnationId, OwnerAnswerMessage } from "@currantrill/protocol";
import VError from "verror";
import type { HostContext } from "../../model/hostContext.js";
import { PEER_TIMEOUT_MS, type PeerConnection } from "../model/fleet.js";
import { openConnection } from "./openConnection.js";
import { sendMessage } from "./sendMessage.js";

/**
 * Queries a host for which of the attempts it still runs. An answer for another incarnation names none. Opens a
 * connection if there is none. Rejects with `PeerUnreachable` if no answer arrives within `PEER_TIMEOUT_MS`.
 */
export async function queryAliveAttempts(
    context: HostContext,
    host: HostId,
    incarnation: IncarnationId,
    attempts: readonly AttemptId[],
): Promise<OwnerAnswerMessage> {
    const { fleet } = context;
    fleet.messageSequence += 1;
    const id = fleet.messageSequence;
    const answer = new Promise<OwnerAnswerMessage>((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new VError({ name: "PeerUnreachable" }, "no answer from host %s to an owner query", host)),
            PEER_TIMEOUT_MS,
        );
        fleet.pendingOwnerQueries.set(id, message => {
            clearTimeout(timer);
            resolve(message);
        });
    });
    const send = (connection: PeerConnection): void =>
        sendMessage(context, connection.socket, { type: "ownerQuery", id, incarnation, attempts });
    const connection = fleet.connections.get(host);
    const address = fleet.membership.members.get(host)?.peerAddress;
    if (connection !== undefined) {
        send(connection);
    }
    else if (address !== undefined) {
        openConnection(context, address, send);
    }
    return answer.finally(() => fleet.pendingOwnerQueries.delete(id));
}
