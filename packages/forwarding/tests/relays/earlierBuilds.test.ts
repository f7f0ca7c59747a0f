/** Relays between hosts of this build and of builds whose connections end without a mark. */
import { serveHttp } from "@currantrill/http";
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { connectSocket } from "../../src/endpoints/commands/connectSocket.js";
import { sendAttempt } from "../../src/endpoints/commands/sendAttempt.js";
import { createConnectionPool } from "../../src/endpoints/model/connectionPool.js";
import { createRelayServer } from "../../src/relays/commands/createRelayServer.js";
import { openRelay } from "../../src/relays/commands/openRelay.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

async function startServer(handle: (socket: Socket) => void): Promise<string> {
    const sockets = new Set<Socket>();
    const server = createServer({ allowHalfOpen: true }, socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        handle(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const connectTo = (address: string): Socket => {
    const [host = "", port = "0"] = address.split(":");
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    closers.push(() => void socket.destroy());
    return socket.on("error", () => undefined);
};

/** Relays as builds before the format of frames: without a header, bytes as they are. */
const startEarlierRelay = (): Promise<string> =>
    startServer(peer =>
        peer.once("data", (head: Buffer) => {
            const [, address = ""] = String(head).split(" ");
            const endpoint = connectTo(address);
            peer.write("HTTP/1.1 200 Connection Established\r\n\r\n");
            peer.pipe(endpoint);
            endpoint.pipe(peer);
        })
    );

const body = "id: 1\ndata: x\n\n";
/** Heads of answers. Without a length, an answer ends with its connection. */
const answers = {
    undelimited: `HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`,
    sized: `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    chunked: `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
} as const;

const startEndpoint = (answer: string): Promise<string> =>
    startServer(socket => socket.once("data", () => void socket.end(answer)));

describe("a relay between builds", () => {
    // Guards against a part of an answer that is passed on as whole, because an earlier build on the way has ended.
    it.each(
        [
            { framing: "undelimited", end: "path_lost" },
            { framing: "sized", end: "whole" },
            { framing: "chunked", end: "whole" },
        ] as const,
    )("from an earlier build gives only answers with an end of their own: $framing", async ({ framing, end }) => {
        const peer = await startEarlierRelay();
        const address = await startEndpoint(answers[framing]);
        const pool = createConnectionPool(address, { connect: () => openRelay(peer, address).connected });
        let text = "";
        const found = await new Promise<string>(resolve =>
            sendAttempt(pool, {
                method: "GET",
                target: "/",
                headers: [],
                body: Buffer.alloc(0),
                usesNewConnection: true,
            }, {
                onSent: () => undefined,
                onResponse: () => true,
                onData: chunk => {
                    text += String(chunk);
                    return true;
                },
                onEnd: () => resolve("whole"),
                onFailure: resolve,
            })
        );
        expect({ found, text }).toEqual({ found: end, text: body });
        pool.close();
    });
    // Guards against a host of an earlier build that gets frames, which it cannot read, or loses the end of an answer.
    it.each([
        { end: "end", close: (socket: Socket): void => void socket.end(answers.undelimited), isReset: false },
        {
            end: "reset",
            close: (socket: Socket): void =>
                void socket.write(answers.undelimited, () => setTimeout(() => socket.resetAndDestroy(), 20)),
            isReset: true,
        },
    ])("to an earlier build passes bytes on as they are, and the $end", async ({ close, isReset }) => {
        const address = await startServer(socket => socket.once("data", () => close(socket)));
        const relays = createRelayServer({
            connectDirect: connectSocket,
            isKnownAddress: () => true,
            isStopping: () => false,
            isDetoured: () => false,
            onRelay: () => undefined,
        });
        const server = await serveHttp({
            host: "127.0.0.1",
            port: 0,
            bodies: "raw",
            routes: [],
            handleTunnel: relays.handleTunnel,
        });
        closers.push(server.close);
        const socket = connectTo(`127.0.0.1:${server.port}`);
        let text = "";
        let hasFailed = false;
        socket.on("error", () => {
            hasFailed = true;
        });
        const ended = new Promise<void>(resolve => {
            socket.once("end", resolve).once("close", () => resolve());
        });
        socket.on("data", chunk => {
            text += String(chunk);
        });
        socket.write(`CONNECT ${address} HTTP/1.1\r\nhost: ${address}\r\n\r\n`);
        while (!text.includes("\r\n\r\n")) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        socket.write("GET / HTTP/1.1\r\n\r\n");
        await ended;
        expect(text).toBe(`HTTP/1.1 200 Connection Established\r\n\r\n${answers.undelimited}`);
        expect(hasFailed).toBe(isReset);
    });
});
