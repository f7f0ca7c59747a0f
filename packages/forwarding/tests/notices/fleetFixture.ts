/** Two hosts on loopback before endpoints that state something about themselves in their responses. */
import { request } from "undici";
import { afterEach } from "vitest";
import type { Route } from "../../src/configuration/model/servingConfiguration.js";
import {
    createRoute,
    type EndpointScript,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
} from "../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

export interface Reply {
    readonly status: number;
    readonly retryAfter: string | undefined;
    readonly durationMs: number;
}

export interface TestFleet {
    readonly hosts: readonly TestHost[];
    readonly endpoints: readonly TestEndpoint[];
    /** Times of the requests at each endpoint. */
    readonly arrivals: readonly number[][];
}

/** Starts the hosts, and an endpoint for each script. */
export async function startFleet(route: Partial<Route>, scripts: readonly EndpointScript[]): Promise<TestFleet> {
    const arrivals: number[][] = scripts.map(() => []);
    const endpoints: TestEndpoint[] = [];
    for (const [index, script] of scripts.entries()) {
        endpoints.push(
            await startEndpoint(`e${index}`, (received, socket, count) => {
                arrivals[index]?.push(performance.now());
                script(received, socket, count);
            }),
        );
    }
    closers.push(...endpoints.map(endpoint => endpoint.close));
    const routes = [createRoute(route)];
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
    return { hosts, endpoints, arrivals };
}

export async function sendRequest(host: TestHost, id: string): Promise<Reply> {
    const startedAtMs = performance.now();
    const response = await request(`${host.url}/r/x`, {
        method: "POST",
        headers: { "host": "desk.example", "t-id": id },
    });
    await response.body.text();
    return {
        status: response.statusCode,
        retryAfter: response.headers["retry-after"]?.toString(),
        durationMs: performance.now() - startedAtMs,
    };
}
