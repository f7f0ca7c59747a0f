import type { AttemptId, HostId, IncarnationId, OwnerAnswerMessage } from "@currantrill/protocol";
import VError from "verror";
import type { HostContext } from "../../model/hostContext.js";
import { PEER_SILENCE_MS, type PeerConnection } from "../model/fleet.js";
import { openConnection } from "./openConnection.js";
import { sendMessage } from "./sendMessage.js";

/**
 * Asks a host which of the attempts it still runs. Opens a connection for it if there is none. Rejects with
 * `PeerUnreachable` if no answer arrives.
 */
export async function requestOwnerAnswer(
    context: HostContext,
    host: HostId,
    incarnation: IncarnationId,
    attempts: readonly AttemptId[],
): Promise<OwnerAnswerMessage> {
    const { fleet } = context;
    fleet.pingSequence += 1;
    const id = fleet.pingSequence;
    const answer = new Promise<OwnerAnswerMessage>((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new VError({ name: "PeerUnreachable" }, "host %s did not answer an owner query", host)),
            PEER_SILENCE_MS,
        );
        fleet.ownerQueries.set(id, message => {
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
    return answer.finally(() => fleet.ownerQueries.delete(id));
}
