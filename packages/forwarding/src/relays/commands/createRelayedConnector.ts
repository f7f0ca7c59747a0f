/** Connects to endpoints directly, or through a peer if that fails. */
import type { SocketConnector } from "../../endpoints/commands/connectSocket.js";
import { isLackOfResources } from "../../endpoints/commands/sendAttempt.js";
import { toDirectConnection } from "../../endpoints/commands/toDirectConnection.js";
import type { EndpointConnector, EndpointSocket } from "../../endpoints/model/endpointSocket.js";
import { startTimeout } from "../../endpoints/model/startTimeout.js";
import type { LinkTracker } from "../model/linkTracker.js";
import type { RelayPeers } from "../model/relayPeers.js";
import type { PendingRelay } from "./openRelay.js";

/**
 * Time in which a direct connection gets no reply until a peer is asked as well. Endpoints accept connections within a few
 * milliseconds.
 */
const DIRECT_HEAD_START_MS = 50;
/** Most peers that are asked for one connection. */
const MAX_PEERS = 3;
/** Time without an answer after which the next peer is asked as well: the first one may have lost its paths, too. */
const NEXT_PEER_DELAY_MS = 60;

export interface RelayedConnectorOptions {
    readonly connectDirect: SocketConnector;
    readonly openRelay: (peer: string, address: string) => PendingRelay;
    readonly tracker: LinkTracker;
    readonly peers: RelayPeers;
    /** Called for each connection through a peer, for metrics and the log. */
    readonly onConnected: () => void;
    readonly onFailed: (peer: string, error: unknown) => void;
}

/** Creates a connector. The first established connection counts, and the other one is closed. */
export const createRelayedConnector = (options: RelayedConnectorOptions): EndpointConnector => address =>
    new Promise<EndpointSocket>((resolve, reject) => connectFirst(options, address, { resolve, reject }));

interface Outcome {
    readonly resolve: (connection: EndpointSocket) => void;
    readonly reject: (error: unknown) => void;
}

function connectFirst(options: RelayedConnectorOptions, address: string, { resolve, reject }: Outcome): void {
    const { connectDirect, tracker } = options;
    const direct = connectDirect(address);
    let directError: unknown;
    let relay: Relay | undefined;
    let isSettled = false;
    const settle = (act: () => void): void => {
        if (!isSettled) {
            isSettled = true;
            cancelHeadStart();
            act();
        }
    };
    const rejectIfBothFailed = (): void => {
        if (directError !== undefined && relay?.hasFailed() !== false) {
            settle(() => reject(directError));
        }
    };
    const startRelay = (): void => {
        if (isSettled || relay !== undefined || !tracker.admitTrial(address)) {
            return;
        }
        relay = connectThroughPeers(options, address, connection =>
            settle(() => {
                direct.cancel();
                tracker.recordRelayed(address, directError === undefined);
                resolve(connection);
            }), rejectIfBothFailed);
    };
    const isDetoured = tracker.isStranded() || tracker.isDetoured(address);
    const cancelHeadStart = startTimeout(isDetoured ? 0 : DIRECT_HEAD_START_MS, startRelay);
    direct.connected.then(
        socket => {
            if (isSettled) {
                socket.destroy();
                return;
            }
            settle(() => {
                relay?.cancel();
                tracker.recordDirect(address);
                resolve(toDirectConnection(socket));
            });
        },
        (error: unknown) => {
            directError = error;
            if (!isLackOfResources(error)) {
                startRelay();
            }
            rejectIfBothFailed();
        },
    );
}

/** A connection that is being established through peers; the first one counts. */
interface Relay {
    readonly hasFailed: () => boolean;
    readonly cancel: () => void;
}

function connectThroughPeers(
    { openRelay, peers, onConnected, onFailed }: RelayedConnectorOptions,
    address: string,
    resolve: (connection: EndpointSocket) => void,
    reject: () => void,
): Relay {
    const asked = new Set<string>();
    const pending = new Map<string, PendingRelay>();
    let hasEnded = false;
    let cancelNext = (): void => undefined;
    const end = (): void => {
        hasEnded = true;
        cancelNext();
        pending.forEach(each => each.cancel());
    };
    const askNext = (): void => {
        cancelNext();
        const peer = asked.size < MAX_PEERS ? peers.choose(asked) : undefined;
        if (peer === undefined) {
            if (pending.size === 0 && !hasEnded) {
                hasEnded = true;
                reject();
            }
            return;
        }
        asked.add(peer);
        cancelNext = startTimeout(NEXT_PEER_DELAY_MS, askNext);
        const relay = openRelay(peer, address);
        pending.set(peer, relay);
        relay.connected.then(
            connection => {
                pending.delete(peer);
                if (hasEnded) {
                    connection.socket.destroy();
                    return;
                }
                end();
                onConnected();
                connection.socket.once("close", peers.recordOpen(peer));
                resolve(connection);
            },
            (error: unknown) => {
                pending.delete(peer);
                if (!hasEnded) {
                    onFailed(peer, error);
                    peers.recordFailure(peer);
                    askNext();
                }
            },
        );
    };
    askNext();
    return { hasFailed: () => hasEnded, cancel: end };
}
