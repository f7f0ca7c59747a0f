/** Ends of answers that come through a peer: by the endpoint, and by the peer. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
    buildHead,
    faultRoutes,
    framings,
    type Reply,
    type RouteName,
    routeNames,
    sendRequest,
    wholeStream,
} from "../faultFixture.js";
import {
    createRoute,
    type EndpointScript,
    formatEvent,
    type ReceivedRequest,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
} from "../hostFixture.js";
import { type Links, startLinks } from "./startLinks.js";

const PEER_IP = "127.0.0.2";
const firstEvent = formatEvent(1);

const hosts: TestHost[] = [];
let links: Links;
const endpoints: TestEndpoint[] = [];
/** Connections of the first host that the peer relays. */
const relayed = new Set<Socket>();
let script: EndpointScript = () => undefined;

/** Whether the peer ends each connection at once, as while its process is not running. */
let isRelayDown = false;

const collectRelayed = (message: unknown): void => {
    const { socket } = message as { socket: Socket; };
    if (socket.localAddress === PEER_IP && socket.localPort === Number(hosts[0]?.listen.peers.split(":")[1])) {
        if (isRelayDown) {
            socket.destroy();
            return;
        }
        relayed.add(socket);
        socket.once("close", () => relayed.delete(socket));
    }
};

/** Ends what the peer relays as the operating system does when the process of the peer is killed. */
const killRelay = (): void => relayed.forEach(socket => socket.destroy());

beforeAll(async () => {
    subscribe("net.server.socket", collectRelayed);
    for (const id of ["e0", "e1"]) {
        endpoints.push(await startEndpoint(id, (received, socket, count) => script(received, socket, count)));
    }
    const routes = routeNames.map(name =>
        createRoute({ ...faultRoutes[name], name, prefix: `/${name}/`, timeoutMs: 3_000, attempts: 3 })
    );
    links = await startLinks(endpoints.map(({ address }) => address));
    for (const ip of ["127.0.0.1", PEER_IP]) {
        const [first] = hosts;
        hosts.push(
            await startTestHost(routes, endpoints, {
                graceMs: 200,
                ip,
                ...(first === undefined ? { connect: links.connect } : {
                    store: first.store,
                    peerPort: Number(first.listen.peers.split(":")[1]),
                    seeds: ["127.0.0.1:1"],
                }),
            }),
        );
    }
    await waitUntil(() => hosts.every(({ logged }) => logged.some(line => line["msg"] === "peers: peer is alive")));
    links.cut("refusing");
});

afterAll(async () => {
    unsubscribe("net.server.socket", collectRelayed);
    await Promise.all(hosts.map(({ host }) => host.drain()));
    links.close();
    endpoints.forEach(endpoint => endpoint.close());
});

let nextId = 0;
const send = (route: RouteName): Promise<Reply> => {
    nextId += 1;
    return sendRequest(hosts[0]!, `q${nextId}`, `/${route}/x`);
};

/** Events that an attempt of a stream has to send. */
const buildRest = ({ headers }: ReceivedRequest): string =>
    [1, 2, 3].filter(id => id > Number(headers["t-last"] ?? 0)).map(formatEvent).join("");

/** What the endpoint has sent when the connection ends. `undelimited` answers end with their connection. */
const parts: Readonly<Record<string, (received: ReceivedRequest) => string>> = {
    "nothing": () => "",
    "part of the head": received => framings.undelimited(received, "").slice(0, 40),
    "the head": received => framings.undelimited(received, ""),
    "one of three events": received => framings.undelimited(received, firstEvent),
    "one and a half events": received => framings.undelimited(received, wholeStream.slice(0, firstEvent.length + 5)),
    "all events": received => framings.undelimited(received, wholeStream),
    "one of three events, of an older endpoint": received =>
        framings.undelimited(received, firstEvent).replace("HTTP/1.1", "HTTP/1.0"),
    "a part of a sized answer": received =>
        `${
            buildHead(received, `content-type: text/event-stream\r\ncontent-length: ${wholeStream.length}\r\n\r\n`)
        }${firstEvent}`,
    "a part of a chunked answer": received => framings.chunked(received, firstEvent).replace(/0\r\n\r\n$/, ""),
};

/** Ways in which a connection ends before the endpoint has finished the answer. */
const ends: Readonly<Record<string, (socket: Socket) => void>> = {
    "the peer is killed": () => killRelay(),
    "the endpoint resets the connection": socket => void socket.resetAndDestroy(),
};

/** What callers get of an answer that has been broken off. */
const expectations: Readonly<Record<RouteName, (reply: Reply) => void>> = {
    call: reply => expect(reply).toMatchObject({ status: 200, body: wholeStream, isComplete: true }),
    onceCall: reply => expect(reply).toMatchObject({ status: 502, isComplete: true }),
    stream: reply => expect(reply).toMatchObject({ status: 200, body: wholeStream, isComplete: true }),
    onceStream: reply => {
        expect([200, 502]).toContain(reply.status);
        expect(reply.isComplete).toBe(reply.status === 502);
        expect(reply.status === 502 || wholeStream.startsWith(reply.body)).toBe(true);
    },
};

const brokenOff = Object.keys(ends).flatMap(end =>
    Object.keys(parts).flatMap(part => routeNames.map(route => ({ end, part, route })))
);

describe("an answer through a peer", () => {
    // Guards against a part of an answer without a length that is passed on as whole, because the connection ends in the
    // regular way when the relaying host ends.
    it.each(brokenOff)("is not whole: $end after $part, $route", async ({ end, part, route }) => {
        let isBroken = false;
        script = (received, socket) => {
            if (isBroken) {
                const rest = buildRest(received);
                // An empty answer without a length may be one that has been cut.
                socket.end(framings[rest === "" ? "sized" : "undelimited"](received, rest));
                return;
            }
            isBroken = true;
            socket.write(parts[part]!(received));
            setTimeout(() => ends[end]!(socket), 40);
        };
        expectations[route](await send(route));
        expect(isBroken).toBe(true);
    });
    // Guards against answers without a length that are refused although the endpoint has ended them.
    it.each(routeNames)("is whole when the endpoint has ended it: %s", async route => {
        for (const framing of Object.values(framings)) {
            let ended = 0;
            script = (received, socket) => {
                socket.write(framing(received, wholeStream));
                setTimeout(() => {
                    socket.end();
                    ended += 1;
                    setTimeout(killRelay, 20);
                }, 20);
            };
            expect(await send(route)).toEqual({ status: 200, body: wholeStream, isComplete: true });
            await waitUntil(() => ended === 1);
            await new Promise(resolve => setTimeout(resolve, 30));
        }
    });
    // Guards against a whole answer that is taken for a reset one, because the endpoint has closed its connection when the
    // relaying host tests with a write whether it was a reset.
    it.each(routeNames)("is whole when the endpoint closes its connection at once: %s", async route => {
        script = (received, socket) => {
            socket.end(framings.undelimited(received, wholeStream), () => socket.destroy());
        };
        for (let count = 0; count < 20; count += 1) {
            expect(await send(route)).toEqual({ status: 200, body: wholeStream, isComplete: true });
        }
    });
    // Guards against a delimited answer that is lost although all of it has come.
    it.each(routeNames)("is whole once its length is there, whatever ends the connection: %s", async route => {
        let sent = 0;
        for (const end of Object.values(ends)) {
            script = (received, socket) => {
                sent += 1;
                socket.write(framings.sized(received, wholeStream));
                setTimeout(() => end(socket), 20);
            };
            expect(await send(route)).toEqual({ status: 200, body: wholeStream, isComplete: true });
            await new Promise(resolve => setTimeout(resolve, 40));
        }
        expect(sent).toBe(2);
    });
    // Guards against endpoints, and requests, that are blamed for a crash because the host that relays them has ended.
    it.each([
        {
            name: "is no crash if the peer has ended",
            crashes: 0,
            end: (): void => {
                isRelayDown = true;
                killRelay();
            },
        },
        {
            name: "is a crash if the endpoint has ended",
            crashes: 1,
            end: (socket: Socket): void => {
                endpoints.forEach(endpoint => endpoint.close());
                socket.resetAndDestroy();
            },
        },
    ])("$name", async ({ end, crashes }) => {
        const countCrashes = (): number =>
            hosts[0]!.logged.filter(line => line["msg"] === "quarantine: endpoint crashed").length;
        const before = countCrashes();
        script = (_received, socket) => void setTimeout(() => end(socket), 40);
        expect(await send("onceCall")).toMatchObject({ status: 502 });
        // A probe takes up to 0.6 s.
        await new Promise(resolve => setTimeout(resolve, 1_000));
        isRelayDown = false;
        expect(countCrashes() - before).toBe(crashes);
    });
});
