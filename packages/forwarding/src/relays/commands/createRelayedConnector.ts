/** Connects to endpoints directly, or through a peer if that fails. */
import type { PendingSocket, SocketConnector } from "../../endpoints/commands/connectSocket.js";
import { isLackOfResources } from "../../endpoints/commands/sendAttempt.js";
import type { EndpointConnector, EndpointSocket } from "../../endpoints/model/endpointSocket.js";
import { startTimeout } from "../../endpoints/model/startTimeout.js";
import type { LinkTracker } from "../model/linkTracker.js";
import type { RelayPeers } from "../model/relayPeers.js";

/**
 * Time in which a direct connection gets no reply until a peer is asked as well. Endpoints accept connections within a few
 * milliseconds.
 */
const DIRECT_HEAD_START_MS = 50;
/** Most peers that are asked for one connection, one after the other. */
const MAX_PEERS = 3;

export interface RelayedConnectorOptions {
    readonly connectDirect: SocketConnector;
    readonly openRelay: (peer: string, address: string) => PendingSocket;
    readonly tracker: LinkTracker;
    readonly peers: RelayPeers;
    /** Called with the outcome of each connection through a peer, for metrics. */
    readonly onRelay: (outcome: "connected" | "failed") => void;
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
                resolve({ socket });
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

/** A connection that is being established through one peer after the other. */
interface Relay {
    readonly hasFailed: () => boolean;
    readonly cancel: () => void;
}

function connectThroughPeers(
    { openRelay, peers, onRelay }: RelayedConnectorOptions,
    address: string,
    onConnected: (connection: EndpointSocket) => void,
    onFailed: () => void,
): Relay {
    const asked = new Set<string>();
    let hasFailed = false;
    let isCancelled = false;
    let pending: PendingSocket | undefined;
    const askNext = (): void => {
        const peer = asked.size < MAX_PEERS ? peers.choose(asked) : undefined;
        if (peer === undefined) {
            hasFailed = true;
            onFailed();
            return;
        }
        asked.add(peer);
        pending = openRelay(peer, address);
        pending.connected.then(
            socket => {
                if (isCancelled) {
                    socket.destroy();
                    return;
                }
                onRelay("connected");
                socket.once("close", peers.recordOpen(peer));
                onConnected({ socket, relay: peer });
            },
            () => {
                if (!isCancelled) {
                    onRelay("failed");
                    peers.recordFailure(peer);
                    askNext();
                }
            },
        );
    };
    askNext();
    return {
        hasFailed: () => hasFailed,
        cancel: () => {
            isCancelled = true;
            pending?.cancel();
        },
    };
}
