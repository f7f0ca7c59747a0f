import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type LinkMode, type RunningRelay, startRelay } from "../../src/index.js";

const link = { from: "host-a-1", to: "engine-a-1" };

interface Client {
    readonly socket: Socket;
    received: string;
    closed: boolean;
}

let echo: Server;
let relay: RunningRelay;

beforeEach(async () => {
    echo = createServer(socket => socket.on("error", () => undefined).pipe(socket));
    await new Promise<void>(resolve => echo.listen(0, "127.0.0.1", resolve));
    relay = await startRelay(address => address === getEchoAddress() ? link.to : undefined);
});

afterEach(() => {
    relay.close();
    echo.close();
});

const getEchoAddress = (): string => `127.0.0.1:${(echo.address() as AddressInfo).port}`;

function openClient(): Client {
    const socket = connect(Number(relay.address.split(":")[1]), "127.0.0.1");
    const client: Client = { socket, received: "", closed: false };
    socket.on("data", data => client.received += data.toString());
    socket.on("error", () => undefined);
    socket.once("close", () => client.closed = true);
    socket.write(`${link.from} ${getEchoAddress()}\n`);
    return client;
}

async function waitUntil(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

const SETTLE_MS = 100;
const settle = () => new Promise(resolve => setTimeout(resolve, SETTLE_MS));

describe("startRelay", () => {
    it("forwards bytes in both directions", async () => {
        const client = openClient();
        client.socket.write("one");
        await waitUntil(() => client.received === "one");
    });

    it.each<{ mode: LinkMode; afterwards: string; closed: boolean; }>([
        { mode: "stall", afterwards: "one two", closed: false },
        { mode: "drop", afterwards: "one", closed: true },
        { mode: "refuse", afterwards: "one", closed: true },
    ])("$mode keeps bytes from an open connection", async ({ mode, afterwards, closed }) => {
        const client = openClient();
        client.socket.write("one");
        await waitUntil(() => client.received === "one");
        relay.setLink(link, mode);
        client.socket.write(" two");
        await settle();
        expect(client).toMatchObject({ received: "one", closed: mode === "refuse" });
        relay.setLink(link, "forward");
        await waitUntil(() => client.received === afterwards && client.closed === closed);
    });

    it.each<LinkMode>(["stall", "drop", "refuse"])("%s keeps a new connection from the target", async mode => {
        relay.setLink(link, mode);
        const client = openClient();
        client.socket.write("one");
        await settle();
        expect(client).toMatchObject({ received: "", closed: mode === "refuse" });
    });

    it("does not pass a close on over a stalled link until it forwards again", async () => {
        const client = openClient();
        const serverSide = new Promise<Socket>(resolve => echo.once("connection", resolve));
        client.socket.write("one");
        await waitUntil(() => client.received === "one");
        relay.setLink(link, "stall");
        (await serverSide).destroy();
        await settle();
        expect(client.closed).toBe(false);
        relay.setLink(link, "forward");
        await waitUntil(() => client.closed);
    });
});
