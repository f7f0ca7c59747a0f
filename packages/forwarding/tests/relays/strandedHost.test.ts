import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { Route } from "../../src/configuration/model/servingConfiguration.js";
import { faultRoutes } from "../faultFixture.js";
import {
    beginStream,
    createRoute,
    type EndpointScript,
    endStream,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeAnswer,
    writeChunk,
} from "../hostFixture.js";
import { type LinkFault, type Links, startLinks } from "./startLinks.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const routes: readonly Route[] = Object.entries(faultRoutes).map(([name, route]) =>
    createRoute({ ...route, name, prefix: `/${name}/`, timeoutMs: 3_000, targetMs: 300, attempts: 3 })
);

/** Answers a call after 20 ms, and a stream with five events over 100 ms. */
const serve: EndpointScript = (received, socket) => {
    if (!received.target.includes("Stream") && !received.target.includes("stream")) {
        setTimeout(() => writeAnswer(socket, received, 200, "ok"), 20);
        return;
    }
    let id = Number(received.headers["t-last"] ?? 0);
    beginStream(socket, received);
    const timer = setInterval(() => {
        id += 1;
        if (id <= 5) {
            writeChunk(socket, formatEvent(id));
            return;
        }
        clearInterval(timer);
        endStream(socket);
    }, 20);
};

interface Fleet {
    readonly hosts: readonly TestHost[];
    readonly links: readonly Links[];
    readonly endpoints: readonly TestEndpoint[];
}

/** Starts hosts that know each other, each with paths of its own to the endpoints. */
async function startFleet(hostCount: number, endpointCount: number): Promise<Fleet> {
    const endpoints: TestEndpoint[] = [];
    for (let index = 0; index < endpointCount; index += 1) {
        endpoints.push(await startEndpoint(`e${index}`, serve));
    }
    const hosts: TestHost[] = [];
    const links: Links[] = [];
    for (let index = 0; index < hostCount; index += 1) {
        const link = await startLinks(endpoints.map(({ address }) => address));
        links.push(link);
        const [first] = hosts;
        hosts.push(
            await startTestHost(routes, endpoints, {
                graceMs: 200,
                ip: `127.0.0.${index + 1}`,
                connect: link.connect,
                ...(first === undefined ? {} : {
                    store: first.store,
                    peerPort: Number(first.listen.peers.split(":")[1]),
                    seeds: ["127.0.0.1:1"],
                }),
            }),
        );
    }
    closers.push(...hosts.map(({ host }) => () => host.drain()), ...links.map(link => link.close));
    closers.push(...endpoints.map(endpoint => endpoint.close));
    await waitUntil(() => hosts.every(({ host }) => host.context.isSmallFleet()));
    await waitUntil(() =>
        hosts.every(({ logged }) =>
            logged.filter(line => line["msg"] === "peers: peer is alive").length >= hostCount - 1
        )
    );
    return { hosts, links, endpoints };
}

interface Reply {
    readonly id: string;
    readonly status: number;
    readonly text: string;
    readonly durationMs: number;
}

let nextId = 0;
async function send(host: TestHost, route: string): Promise<Reply> {
    nextId += 1;
    const id = `q${nextId}`;
    const startedAtMs = performance.now();
    const reply = await request(`${host.url}/${route}/x`, {
        method: "POST",
        headers: { "host": "desk.example", "t-id": id },
        body: "question",
    });
    const text = await reply.body.text().catch(() => "broken");
    return { id, status: reply.statusCode, text, durationMs: performance.now() - startedAtMs };
}

/** Sends requests of all kinds, one every 10 ms, and returns the replies. */
async function sendSeries(hosts: readonly TestHost[], count: number): Promise<readonly Reply[]> {
    const names = Object.keys(faultRoutes);
    const replies: Promise<Reply>[] = [];
    for (let index = 0; index < count; index += 1) {
        replies.push(send(hosts[index % hosts.length]!, names[index % names.length] ?? ""));
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    return Promise.all(replies);
}

const wholeStream = [1, 2, 3, 4, 5].map(formatEvent).join("");
const isServed = ({ status, text }: Reply): boolean => status === 200 && (text === "ok" || text === wholeStream);

const countRuns = ({ endpoints }: Fleet, id: string): number =>
    endpoints.flatMap(({ received }) => received).filter(each => each.headers["t-id"] === id).length;

/** Time after which a host has to serve again, counted from the cut. */
const NOTICE_MS = 1_000;
/** Share of the requests that a host without a path of its own has to serve. */
const MIN_SERVED = 0.95;

const faults: readonly LinkFault[] = ["hanging", "reset", "refusing"];

describe("a host that has lost its paths to all endpoints", () => {
    // Guards against callers of such a host that wait until their deadline, or are refused, while its peers could serve
    // them.
    it.each(faults)("serves its callers through peers: %s", async fault => {
        const fleet = await startFleet(3, 4);
        await sendSeries(fleet.hosts, 24);
        fleet.links[0]?.cut(fault);
        const atCut = sendSeries(fleet.hosts.slice(0, 1), 16);
        await new Promise(resolve => setTimeout(resolve, NOTICE_MS));
        const replies = await sendSeries(fleet.hosts.slice(0, 1), 60);
        expect(replies.filter(isServed).length).toBeGreaterThanOrEqual(60 * MIN_SERVED);
        // Answered 502 or 504 only if an endpoint may have run it, and nothing runs twice that may not.
        for (const { id, status } of [...await atCut, ...replies]) {
            expect([502, 504].includes(status) && countRuns(fleet, id) === 0).toBe(false);
        }
    });
    // Guards against peers that avoid sound endpoints, or serve worse, because of what such a host observes.
    it.each(faults)("leaves those of its peers alone: %s", async fault => {
        const fleet = await startFleet(3, 4);
        await sendSeries(fleet.hosts, 24);
        fleet.links[0]?.cut(fault);
        const [own, others] = await Promise.all([
            sendSeries(fleet.hosts.slice(0, 1), 60),
            sendSeries(fleet.hosts.slice(1), 60),
        ]);
        expect(own.length).toBe(60);
        expect(others.filter(isServed)).toHaveLength(60);
    });
    // Guards against a fleet that is lost although one host still has its paths.
    it.each(faults)("serves if only one host has its paths: %s", async fault => {
        const fleet = await startFleet(3, 4);
        fleet.links.slice(0, 2).forEach(link => link.cut(fault));
        await new Promise(resolve => setTimeout(resolve, NOTICE_MS));
        const replies = await sendSeries(fleet.hosts, 60);
        expect(replies.filter(isServed).length).toBeGreaterThanOrEqual(60 * MIN_SERVED);
    });
    // Guards against a host that goes on through its peers after its paths are back.
    it.each(faults)("returns to its own paths within 1 s: %s", async fault => {
        const fleet = await startFleet(2, 4);
        fleet.links[0]?.cut(fault);
        await sendSeries(fleet.hosts.slice(0, 1), 40);
        fleet.links[0]?.heal();
        await new Promise(resolve => setTimeout(resolve, NOTICE_MS));
        const before = fleet.links[0]?.countConnected() ?? 0;
        const replies = await sendSeries(fleet.hosts.slice(0, 1), 20);
        expect(replies.filter(isServed)).toHaveLength(20);
        // Requests that may run only once use new connections.
        expect(fleet.links[0]?.countConnected()).toBeGreaterThanOrEqual(before + 10);
    });
    // Guards against requests that wait until their deadline although no host can reach an endpoint.
    it.each(faults)("refuses at once what no host can serve: %s", async fault => {
        const fleet = await startFleet(2, 2);
        fleet.links.forEach(link => link.cut(fault));
        await new Promise(resolve => setTimeout(resolve, NOTICE_MS));
        const replies = await sendSeries(fleet.hosts, 16);
        for (const { id, status, durationMs } of replies) {
            expect({ status, runs: countRuns(fleet, id) }).toEqual({ status: 503, runs: 0 });
            expect(durationMs).toBeLessThan(2_500);
        }
    });
});
