import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { type ConnectionLimitEvent, type RunningServer, sendJson, serveHttp } from "../src/index.js";

const MAX_CONNECTIONS = 4;
/** Connections beyond the limit that are still read from. */
const EXCESS = 8;
const REQUEST = "POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab";
const PARTIAL_HEAD = "POST /x HTTP/1.1\r\nho";

interface Client {
    readonly socket: Socket;
    received: string;
    isClosed: boolean;
}

const cleanups: (() => unknown)[] = [];
afterEach(() => Promise.all(cleanups.splice(0).reverse().map(cleanUp => cleanUp())));

async function waitUntil(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** A server that answers when `answer` is called, and its clients. */
interface LimitedServer {
    readonly running: RunningServer;
    readonly events: ConnectionLimitEvent[];
    readonly open: () => Promise<Client>;
    /** Number of requests that have been passed to the handler. */
    readonly countHandled: () => number;
    readonly answer: () => void;
    /** Sets the clock of the limit, which is at 0. */
    readonly setTime: (nowMs: number) => void;
}

async function startServer(): Promise<LimitedServer> {
    const events: ConnectionLimitEvent[] = [];
    const waiting: (() => void)[] = [];
    let handled = 0;
    let accepted = 0;
    let nowMs = 0;
    const running = await serveHttp({
        host: "127.0.0.1",
        port: 0,
        bodies: "raw",
        maxConnections: MAX_CONNECTIONS,
        onConnectionLimit: event => events.push(event),
        getNowMs: () => nowMs,
        routes: [{
            method: "ALL",
            path: "*",
            handle: (_request, response) => {
                handled += 1;
                waiting.push(() => sendJson(response, 200, {}));
            },
        }],
    });
    cleanups.push(running.close);
    running.server.on("connection", () => void (accepted += 1));
    return {
        running,
        events,
        countHandled: () => handled,
        setTime: changed => void (nowMs = changed),
        answer: () => waiting.splice(0).forEach(send => send()),
        open: async () => {
            const before = accepted;
            const socket = connect(running.port, "127.0.0.1");
            const client: Client = { socket, received: "", isClosed: false };
            socket.on("data", chunk => void (client.received += chunk.toString()));
            socket.on("error", () => undefined);
            socket.on("close", () => void (client.isClosed = true));
            cleanups.push(() => socket.destroy());
            await waitUntil(() => accepted > before);
            return client;
        },
    };
}

/** Opens a connection that another server has accepted. */
async function openAcceptedSocket(): Promise<Socket> {
    const acceptor = createServer();
    await new Promise<void>(resolve => acceptor.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => acceptor.once("connection", resolve));
    const socket = connect((acceptor.address() as AddressInfo).port, "127.0.0.1");
    cleanups.push(() => socket.destroy(), () => acceptor.close());
    return accepted;
}

async function openMany(server: LimitedServer, count: number): Promise<Client[]> {
    const clients: Client[] = [];
    for (let index = 0; index < count; index += 1) {
        clients.push(await server.open());
    }
    return clients;
}

/** Sends a request on each connection and waits until the handler has them all. */
async function sendAll(server: LimitedServer, clients: readonly Client[]): Promise<void> {
    const before = server.countHandled();
    clients.forEach(client => client.socket.write(REQUEST));
    await waitUntil(() => server.countHandled() === before + clients.length);
}

describe("a server with a limit on connections", () => {
    // Guards against clients that keep connections and so take all file descriptors of the process.
    it("closes the connection that has been idle for longest when a further one is opened", async () => {
        const server = await startServer();
        const clients = await openMany(server, MAX_CONNECTIONS);
        await sendAll(server, clients);
        server.answer();
        await waitUntil(() => clients.every(client => client.received.includes("200 OK")));
        // The first one is used again, so the second one has been idle for longest.
        await sendAll(server, clients.slice(0, 1));
        server.answer();
        await waitUntil(() => server.running.countPending() === 0);
        const further = await server.open();
        await waitUntil(() => clients.some(client => client.isClosed));
        expect(clients.map(client => client.isClosed)).toEqual([false, true, false, false]);
        await sendAll(server, [further]);
        server.answer();
        await waitUntil(() => further.received.includes("200 OK"));
        expect(server.events).toEqual(["idle_closed"]);
    });

    // Guards against a request that gets neither an answer nor a refusal because it arrives on the connection that is closed
    // in favour of a further one.
    it("refuses a request that has arrived unread on the connection that is to be closed", async () => {
        const server = await startServer();
        const clients = await openMany(server, MAX_CONNECTIONS);
        await sendAll(server, clients);
        server.answer();
        await waitUntil(() => clients.every(client => client.received.includes("200 OK")));
        const further = await openAcceptedSocket();
        clients[0]?.socket.write(REQUEST);
        server.running.server.emit("connection", further);
        await waitUntil(() => clients.some(client => client.isClosed));
        expect(clients[0]?.received).toContain("503 Service Unavailable");
        expect(server.events).toEqual(["idle_closed"]);
    });

    // Guards against clients that hold all connections without ever sending a whole head, and against the opposite: new
    // connections that are closed before their requests have had time to arrive.
    it.each([
        { name: "closes the oldest one after 1 s", text: "", ageMs: 1_000, closed: [0], event: "idle_closed" },
        { name: "closes no new one", text: "", ageMs: 999, closed: [], event: "refused" },
        { name: "closes one with half a head", text: PARTIAL_HEAD, ageMs: 1_000, closed: [0], event: "idle_closed" },
        { name: "waits for a whole head", text: PARTIAL_HEAD, ageMs: 999, closed: [], event: "refused" },
    ])("$name if no connection has sent a request", async ({ text, ageMs, closed, event }) => {
        const server = await startServer();
        const clients = await openMany(server, MAX_CONNECTIONS);
        clients.forEach(client => client.socket.write(text));
        server.setTime(ageMs);
        await server.open();
        await waitUntil(() => clients.filter(client => client.isClosed).length === closed.length);
        expect(clients.flatMap((client, index) => client.isClosed ? [index] : [])).toEqual(closed);
        expect(server.events).toEqual([event]);
    });

    // Guards against clients that hold all connections, and those beyond the limit, and so keep all others out.
    it("serves a new client while silent ones hold all connections", async () => {
        const server = await startServer();
        await openMany(server, MAX_CONNECTIONS + EXCESS);
        server.setTime(1_000);
        const client = await server.open();
        await sendAll(server, [client]);
        server.answer();
        await waitUntil(() => client.received.includes("200 OK"));
        expect(server.events.at(-1)).toBe("idle_closed");
    });

    // Guards against a caller that gets a closed connection, and cannot know whether its request ran, where the server is
    // able to answer; and against requests beyond the limit that are run.
    it("refuses requests on further connections while all have requests in flight", async () => {
        const server = await startServer();
        const clients = await openMany(server, MAX_CONNECTIONS);
        await sendAll(server, clients);
        const further = await server.open();
        further.socket.write(REQUEST);
        await waitUntil(() => further.isClosed);
        expect(further.received).toMatch(/^HTTP\/1\.1 503 [^]*connection: close[^]*too many connections/i);
        expect(server.countHandled()).toBe(MAX_CONNECTIONS);
        server.answer();
        await waitUntil(() => clients.every(client => client.received.includes("200 OK")));
        expect(server.events).toEqual(["refused"]);
    });

    // Guards against a number of open connections that has no bound at all.
    it("closes connections far beyond the limit, and serves again afterwards", async () => {
        const server = await startServer();
        const clients = await openMany(server, MAX_CONNECTIONS);
        await sendAll(server, clients);
        const further = await openMany(server, EXCESS);
        const dropped = await server.open();
        await waitUntil(() => dropped.isClosed);
        expect(server.events.filter(event => event === "dropped")).toHaveLength(1);
        [...clients, ...further].forEach(client => client.socket.destroy());
        await waitUntil(() => server.running.countPending() === 0);
        const last = await server.open();
        await sendAll(server, [last]);
        server.answer();
        await waitUntil(() => last.received.includes("200 OK"));
    });
});
