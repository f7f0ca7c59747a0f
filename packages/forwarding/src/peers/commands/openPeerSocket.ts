/** UDP socket for the messages between hosts. */
import type Logger from "bunyan";
import { createSocket, type Socket } from "node:dgram";
import { decodeMessage, type MessageKind } from "../queries/messageCodec.js";

/** Handles the fields of a message. `nowMs` is the time of its receipt on the monotonic clock. */
export type MessageHandler = (fields: readonly unknown[], nowMs: number) => void;

export interface PeerSocket {
    /** Sets the handler of a kind of messages. Messages of a kind without a handler are dropped. */
    readonly setHandler: (kind: MessageKind, handle: MessageHandler) => void;
    /** Sends encoded data to peers. */
    readonly send: (data: Buffer, targets: readonly string[]) => void;
    readonly close: () => void;
}

export interface PeerSocketOptions {
    /** IP address and port to listen on. All hosts use the same port. */
    readonly address: string;
    readonly log: Logger;
    /** Called for each datagram, for metrics. */
    readonly onDatagram: (direction: "sent" | "received" | "invalid") => void;
}

/** Opens the socket. Rejects if the address cannot be bound. */
export async function openPeerSocket({ address, log, onDatagram }: PeerSocketOptions): Promise<PeerSocket> {
    const [localIp = "", port = "0"] = address.split(":");
    const socket = createSocket("udp4");
    const handlers = new Map<MessageKind, MessageHandler>();
    socket.on("message", data => {
        onDatagram("received");
        const message = decodeMessage(data);
        if (message === undefined) {
            onDatagram("invalid");
            log.warn({ bytes: data.length }, "peers: received a datagram that is not a message of this layout");
            return;
        }
        try {
            handlers.get(message.kind)?.(message.fields, performance.now());
        }
        catch (error) {
            onDatagram("invalid");
            log.warn({ err: error, kind: message.kind }, "peers: could not handle a message");
        }
    });
    await awaitBinding(socket, Number(port), localIp);
    socket.on("error", error => log.warn({ err: error }, "peers: socket error"));
    return {
        setHandler: (kind, handle) => void handlers.set(kind, handle),
        send: (data, targets) => {
            for (const target of targets) {
                const [ip = ""] = target.split(":");
                socket.send(data, Number(port), ip, error => {
                    if (error !== null) {
                        log.debug({ err: error, peer: target }, "peers: could not send a message");
                    }
                });
                onDatagram("sent");
            }
        },
        close: () => socket.close(),
    };
}

function awaitBinding(socket: Socket, port: number, ip: string): Promise<void> {
    return new Promise((resolve, reject) => {
        socket.once("error", error => {
            socket.close();
            reject(error);
        });
        socket.bind(port, ip, () => {
            socket.removeAllListeners("error");
            resolve();
        });
    });
}
