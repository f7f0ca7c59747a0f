import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type LinkMode, type RunningFaultProxy, startFaultProxy } from "../../src/index.js";

const link = { from: "host-a-1", to: "engine-a-1" };

interface Client {
    readonly socket: Socket;
    received: string;
    closed: boolean;
}

let echo: Server;
let proxy: RunningFaultProxy;

beforeEach(async () => {
    echo = createServer(socket => socket.on("error", () => undefined).pipe(socket));
    await new Promise<void>(resolve => echo.listen(0, "127.0.0.1", resolve));
    proxy = await startFaultProxy(address => address === getEchoAddress() ? link.to : undefined);
});

afterEach(() => {
    proxy.close();
    echo.close();
});

const getEchoAddress = (): string => `127.0.0.1:${(echo.address() as AddressInfo).port}`;

function openClient(): Client {
    const socket = connect(Number(proxy.address.split(":")[1]), "127.0.0.1");
    const client: Client = { socket, received: "", closed: false };
    socket.on("data", data => client.received += data.toString());
    socket.on("error", () => undefined);
    socket.once("close", () => client.closed = true);
    socket.write(`${link.from} ${getEchoAddress()}\n`);
    return client;
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

/** Time in which bytes would have arrived if the proxy forwarded them. */
const NO_DATA_WAIT_MS = 100;
const waitForNoData = () => new Promise(resolve => setTimeout(resolve, NO_DATA_WAIT_MS));

describe("startFaultProxy", () => {
    it("forwards bytes in both directions", async () => {
        const client = openClient();
        client.socket.write("one");
        await waitUntil(() => client.received === "one");
    });

    it.each<{ mode: LinkMode; afterwards: string; closed: boolean; }>([
        { mode: "stall", afterwards: "one two", closed: false },
        { mode: "drop", afterwards: "one", closed: true },
        { mode: "refuse", afterwards: "one", closed: true },
    ])("$mode stops the bytes on an open connection", async ({ mode, afterwards, closed }) => {
        const client = openClient();
        client.socket.write("one");
        await waitUntil(() => client.received === "one");
        proxy.setLink(link, mode);
        client.socket.write(" two");
        await waitForNoData();
        expect(client).toMatchObject({ received: "one", closed: mode === "refuse" });
        proxy.setLink(link, "forward");
        await waitUntil(() => client.received === afterwards && client.closed === closed);
    });

    it.each<LinkMode>(["stall", "drop", "refuse"])("%s does not connect a new connection to the target", async mode => {
        proxy.setLink(link, mode);
        const client = openClient();
        client.socket.write("one");
        await waitForNoData();
        expect(client).toMatchObject({ received: "", closed: mode === "refuse" });
    });

    it("forwards the close of a connection only when a stalled link forwards again", async () => {
        const client = openClient();
        const serverSide = new Promise<Socket>(resolve => echo.once("connection", resolve));
        client.socket.write("one");
        await waitUntil(() => client.received === "one");
        proxy.setLink(link, "stall");
        (await serverSide).destroy();
        await waitForNoData();
        expect(client.closed).toBe(false);
        proxy.setLink(link, "forward");
        await waitUntil(() => client.closed);
    });
});
