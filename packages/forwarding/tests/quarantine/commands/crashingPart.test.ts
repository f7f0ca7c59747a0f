import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
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
    writeChunk,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const DEADLY = "common,deadly";
const SOUND = "common,sound";
/** An endpoint begins its response this long before its process ends. */
const CRASH_DELAY_MS = 20;
/** Time between two requests with the deadly part. */
const INTERVAL_MS = 130;
const ENDPOINTS = 18;
const DEADLY_REQUESTS = 14;

/** Starts two hosts with endpoints that end once they begin to write an answer to a prompt with the deadly part. */
async function startFleet(): Promise<{ hosts: TestHost[]; crashed: string[]; deadlyReceived: string[]; }> {
    const crashed: string[] = [];
    const deadlyReceived: string[] = [];
    const endpoints: TestEndpoint[] = [];
    const script = (id: string): EndpointScript => (received, socket) => {
        beginStream(socket, received);
        if (received.headers["t-parts"] !== DEADLY) {
            writeChunk(socket, formatEvent(1));
            writeChunk(socket, formatEvent(2));
            endStream(socket);
            return;
        }
        deadlyReceived.push(id);
        setTimeout(() => {
            if (!crashed.includes(id)) {
                crashed.push(id);
                endpoints.find(endpoint => endpoint.id === id)?.close();
            }
        }, CRASH_DELAY_MS);
    };
    for (let index = 0; index < ENDPOINTS; index += 1) {
        endpoints.push(await startEndpoint(`e${index}`, script(`e${index}`)));
    }
    closers.push(...endpoints.map(endpoint => endpoint.close));
    const routes = [createRoute({ kind: "stream", canResume: true, attempts: 3 })];
    const first = await startTestHost(routes, endpoints, { graceMs: 200 });
    const second = await startTestHost(routes, endpoints, {
        graceMs: 200,
        store: first.store,
        ip: "127.0.0.2",
        peerPort: Number(first.listen.peers.split(":")[1]),
        seeds: ["127.0.0.1:1"],
    });
    const hosts = [first, second];
    closers.push(...hosts.map(({ host }) => () => host.drain()));
    await waitUntil(() => hosts.every(({ logged }) => logged.some(line => line["msg"] === "peers: peer is alive")));
    return { hosts, crashed, deadlyReceived };
}

/** Sends a prompt and returns the status, or 0 if the response is broken off. */
async function sendPrompt(host: TestHost, id: string, parts: string): Promise<number> {
    try {
        const response = await request(`${host.url}/r/x`, {
            method: "POST",
            headers: { "host": "desk.example", "t-id": id, "t-parts": parts },
        });
        await response.body.text();
        return response.statusCode;
    }
    catch {
        return 0;
    }
}

describe("a part of prompts that crashes endpoints", () => {
    // Guards against requests with the part crashing one endpoint after the other, no two of them at the same host.
    it("is refused on all hosts after a few crashes, and other prompts of the same route are served", async () => {
        const { hosts, crashed, deadlyReceived } = await startFleet();
        const sound: Promise<number>[] = [];
        const deadly: Promise<number>[] = [];
        for (let index = 0; index < DEADLY_REQUESTS; index += 1) {
            deadly.push(sendPrompt(hosts[index % 2]!, `d${index}`, DEADLY));
            await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
            sound.push(sendPrompt(hosts[(index + 1) % 2]!, `s${index}`, SOUND));
        }
        const statuses = await Promise.all(deadly);
        expect(crashed.length).toBeLessThanOrEqual(5);
        expect(deadlyReceived.length).toBeLessThanOrEqual(5);
        expect(statuses.slice(-5)).toEqual([503, 503, 503, 503, 503]);
        expect(await Promise.all(sound)).toEqual(sound.map(() => 200));
    });
});
