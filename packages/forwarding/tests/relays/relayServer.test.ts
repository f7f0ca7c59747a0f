import { serveHttp } from "@currantrill/http";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { afterEach, describe, expect, it } from "vitest";
import { connectSocket } from "../../src/endpoints/commands/connectSocket.js";
import { createRelayServer, type RelayOutcome } from "../../src/relays/commands/createRelayServer.js";
import { openRelay } from "../../src/relays/commands/openRelay.js";
import { waitUntil } from "../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

interface Relay {
    readonly peer: string;
    readonly address: string;
    readonly outcomes: RelayOutcome[];
    readonly countOpen: () => number;
    /** Connections that the endpoint has accepted. */
    readonly accepted: Socket[];
    /** Closes the connections of the relaying host, as at the end of its grace time. */
    readonly stop: () => Promise<void>;
}

/** Starts an endpoint that runs a script on each connection, and a host that relays to it. */
async function startRelay(
    script: (socket: Socket) => void,
    changes: { readonly isStopping?: boolean; readonly isKnown?: boolean; readonly isDetoured?: boolean; } = {},
): Promise<Relay> {
    const accepted: Socket[] = [];
    const endpoint: Server = createServer({ allowHalfOpen: true }, socket => {
        accepted.push(socket);
        socket.on("error", () => undefined);
        script(socket);
    });
    await new Promise<void>(resolve => endpoint.listen(0, "127.0.0.1", resolve));
    const outcomes: RelayOutcome[] = [];
    const relays = createRelayServer({
        connectDirect: connectSocket,
        isKnownAddress: () => changes.isKnown ?? true,
        isStopping: () => changes.isStopping ?? false,
        isDetoured: () => changes.isDetoured ?? false,
        onRelay: outcome => outcomes.push(outcome),
    });
    const server = await serveHttp({
        host: "127.0.0.1",
        port: 0,
        bodies: "raw",
        routes: [],
        handleTunnel: relays.handleTunnel,
    });
    closers.push(server.close, () => {
        endpoint.close();
        accepted.forEach(socket => socket.destroy());
    });
    return {
        peer: `127.0.0.1:${server.port}`,
        address: `127.0.0.1:${(endpoint.address() as AddressInfo).port}`,
        outcomes,
        countOpen: relays.countOpen,
        accepted,
        stop: server.close,
    };
}

const waitFor = (socket: Duplex, event: string): Promise<unknown> =>
    new Promise(resolve => {
        socket.once(event, resolve);
    });

const answer = "HTTP/1.1 200 OK\r\n\r\npart of a body";

describe("createRelayServer", () => {
    // Guards against bytes that are lost or reordered when one side reads more slowly than the other writes.
    it("passes bytes on in both directions", async () => {
        const relay = await startRelay(socket => void socket.pipe(socket));
        const { socket } = await openRelay(relay.peer, relay.address).connected;
        const sent = Buffer.alloc(3_000_000, "abc");
        const received: Buffer[] = [];
        socket.on("data", (chunk: Buffer) => received.push(chunk));
        socket.write(sent);
        while (received.reduce((sum, chunk) => sum + chunk.length, 0) < sent.length) {
            await waitFor(socket, "data");
        }
        expect(Buffer.concat(received).equals(sent)).toBe(true);
        socket.destroy();
    });
    // Guards against a response without a length that is taken for complete, because a reset of the endpoint or the end of
    // the relaying host looks like a regular end to the host behind the relay.
    it.each<{ name: string; close: (socket: Socket, relay: Relay) => void; isEndOfEndpoint: boolean; }>([
        { name: "reset of an endpoint", close: socket => void socket.resetAndDestroy(), isEndOfEndpoint: false },
        { name: "end of an endpoint", close: socket => void socket.end(), isEndOfEndpoint: true },
        {
            name: "end of an endpoint that resets the connection after it",
            close: socket => void socket.end().on("data", () => socket.resetAndDestroy()),
            isEndOfEndpoint: true,
        },
        { name: "end of the relaying host", close: (_socket, relay) => void relay.stop(), isEndOfEndpoint: false },
    ])("tells the $name", async ({ close, isEndOfEndpoint }) => {
        const relay = await startRelay(socket => {
            socket.once("data", () => {
                socket.write(answer);
                setTimeout(() => close(socket, relay), 20);
            });
        });
        const { socket, checkEnd } = await openRelay(relay.peer, relay.address).connected;
        const errors: Error[] = [];
        socket.on("error", error => errors.push(error));
        let text = "";
        socket.on("data", chunk => {
            text += String(chunk);
        });
        socket.write("GET / HTTP/1.1\r\n\r\n");
        await Promise.race([waitFor(socket, "end"), waitFor(socket, "close")]);
        expect(errors.length === 0 && await checkEnd()).toBe(isEndOfEndpoint);
        expect(text).toBe(answer);
        socket.destroy();
    });
    // Guards against an upload that looks complete to the endpoint although the host that sent it has ended in the middle.
    it("passes on no more of an upload than has come", async () => {
        const received: Buffer[] = [];
        const relay = await startRelay(socket => void socket.on("data", (chunk: Buffer) => received.push(chunk)));
        const { socket } = await openRelay(relay.peer, relay.address).connected;
        const part = "POST / HTTP/1.1\r\ncontent-length: 20\r\n\r\nhalf of it";
        socket.write(part);
        await waitUntil(() => Buffer.concat(received).length === part.length);
        socket.destroy();
        await waitFor(relay.accepted[0]!, "end");
        expect(String(Buffer.concat(received))).toBe(part);
    });
    // Guards against endpoints that go on with a request whose caller has left.
    it("closes the connection to the endpoint when the host closes its own", async () => {
        const relay = await startRelay(socket => socket.resume());
        const { socket } = await openRelay(relay.peer, relay.address).connected;
        const [accepted] = relay.accepted;
        socket.destroy();
        await waitFor(accepted!, "end");
        await waitFor(accepted!.end(), "close");
        await waitUntil(() => relay.countOpen() === 0);
    });
    // Guards against a host that relays to arbitrary addresses, or takes on connections that its stop would cut.
    it.each([
        { outcome: "unknown_endpoint", status: 403, changes: { isKnown: false } },
        { outcome: "stopping", status: 503, changes: { isStopping: true } },
        { outcome: "not_connected", status: 502, changes: { isDetoured: true } },
    ])("refuses: $outcome", async ({ outcome, status, changes }) => {
        const relay = await startRelay(() => undefined, changes);
        await expect(openRelay(relay.peer, relay.address).connected).rejects.toThrow(`status ${status}`);
        expect(relay.outcomes).toEqual([outcome]);
        expect(relay.accepted).toHaveLength(0);
    });
    // Guards against a relay that stays open, and a host that waits, although the endpoint has gone.
    it("refuses if it cannot connect either", async () => {
        const relay = await startRelay(() => undefined);
        await expect(openRelay(relay.peer, "127.0.0.1:1").connected).rejects.toThrow("status 502");
        expect(relay.countOpen()).toBe(0);
    });
    // Guards against a host that goes on waiting for a peer that does not answer.
    it("gives up a peer that does not answer", async () => {
        const silent = createServer(socket => void socket.on("error", () => undefined));
        await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
        closers.push(() => silent.close());
        const { port } = silent.address() as AddressInfo;
        await expect(openRelay(`127.0.0.1:${port}`, "127.0.0.1:1").connected).rejects.toThrow("within 600 ms");
    });
    // Guards against a process that ends by an error to which nobody listens yet, if an endpoint resets its connection at once.
    it.each([
        { name: "a reset", bytes: Buffer.from([0xff, 0xff, 0xff, 0xff]) },
        { name: "no frame", bytes: Buffer.from("HTTP/1.1 503 Service Unavailable") },
    ])("survives $name beside the response", async ({ bytes }) => {
        const peer = createServer(socket => {
            socket.on("error", () => undefined);
            const head = "HTTP/1.1 200 Connection Established\r\nrelay-format: framed\r\n\r\n";
            socket.once("data", () => void socket.write(Buffer.concat([Buffer.from(head), bytes])));
        });
        await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
        closers.push(() => peer.close());
        const { port } = peer.address() as AddressInfo;
        const { socket, checkEnd } = await openRelay(`127.0.0.1:${port}`, "127.0.0.1:1").connected;
        await waitUntil(() => socket.destroyed);
        expect(socket.errored).not.toBeNull();
        expect(await checkEnd()).toBe(false);
    });
    // Guards against copies of tables that are no longer served on the address of the relays.
    it("keeps answering other requests of the server", async () => {
        const relay = await startRelay(socket => void socket.pipe(socket));
        const [host, port] = relay.peer.split(":");
        const socket = connect({ host, port: Number(port) });
        socket.write("GET /none HTTP/1.1\r\nhost: x\r\n\r\n");
        expect(String(await waitFor(socket, "data"))).toContain("404");
        socket.destroy();
    });
});
