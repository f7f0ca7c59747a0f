import { toServiceId } from "@currantrill/protocol";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { Route } from "../../../src/configuration/model/servingConfiguration.js";
import { createRequestIdentity } from "../../../src/quarantine/model/requestIdentity.js";
import { toRequestSuspect } from "../../../src/quarantine/model/suspect.js";
import {
    createRoute,
    createTestStore,
    type EndpointScript,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    type TestStore,
    waitUntil,
    writeAnswer,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const service = toServiceId("desk");
const identity = createRequestIdentity({
    method: "POST",
    host: "desk.example",
    target: "/r/bad",
    body: Buffer.from("{}"),
});
const suspect = toRequestSuspect(identity.getDigest());
const RETRY_MS = 300;

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

interface Options {
    readonly route?: Partial<Route>;
    readonly endpoints?: number;
    readonly store?: TestStore;
    readonly script: (endpoint: TestEndpoint, index: number) => EndpointScript;
}

interface System {
    readonly host: TestHost;
    readonly endpoints: readonly TestEndpoint[];
}

async function startSystem({ route = {}, endpoints: count = 3, store, script }: Options): Promise<System> {
    const endpoints: TestEndpoint[] = [];
    for (let index = 0; index < count; index += 1) {
        const endpoint: TestEndpoint = await startEndpoint(
            `e${index}`,
            (received, socket, nth) => script(endpoint, index)(received, socket, nth),
        );
        endpoints.push(endpoint);
    }
    const host = await startTestHost([createRoute(route)], endpoints, {
        graceMs: 200,
        quarantine: { retry_after_ms: RETRY_MS },
        ...(store === undefined ? {} : { storeToUse: store }),
    });
    closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
    return { host, endpoints };
}

interface SendOptions {
    readonly target?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
}

async function send({ host }: System, id: string, options: SendOptions = {}): Promise<readonly [number, string]> {
    const { target = "/r/bad", headers = {}, signal } = options;
    const reply = await request(`${host.url}${target}`, {
        method: "POST",
        headers: { "host": "desk.example", "t-id": id, ...headers },
        body: "{}",
        ...(signal === undefined ? {} : { signal }),
    });
    const text = await reply.body.text();
    return [
        reply.statusCode,
        reply.statusCode === 200 ? "" : (JSON.parse(text) as { error?: { code: string; }; }).error?.code ?? "",
    ];
}

const countRuns = ({ endpoints }: System, target = "/r/bad"): number =>
    endpoints.flatMap(endpoint => endpoint.received).filter(received => received.target === target).length;

const hasLogged = ({ host }: System, text: string): boolean => host.logged.some(line => line["msg"] === text);

/** Lets a host know of two crashes under the request, 1 s ago. */
function reportCrashes({ host }: System): void {
    const nowMs = performance.now();
    const reports = [0, 1].map(index => ({
        endpointId: `former${index}`,
        processStartedAtMs: 1,
        service,
        crashedAtMs: nowMs - 1_000 + index * 100,
        begunParts: [],
        waitingParts: [],
        requests: [{ suspect, sentAtMs: nowMs - 1_020 + index * 100 }],
    }));
    host.host.context.quarantine.merge({ reports, answers: [], entries: [] }, nowMs);
}

/** Creates a store in which the request is isolated, and optionally a part of prompts. */
function createIsolatingStore(trials: number, part?: string): TestStore {
    const store = createTestStore();
    const row = { service: "desk", part: suspect, revision: 4, isIsolated: true, trials };
    store.put("quarantine", `desk ${suspect}`, row);
    if (part !== undefined) {
        store.put("quarantine", `desk ${part}`, { ...row, part, trials: 0 });
    }
    return store;
}

const answer: EndpointScript = (received, socket) => writeAnswer(socket, received, 200, "done");

describe("copies of a request that was on two crashed endpoints", () => {
    // Guards against copies that end an endpoint each: the end of the first lets all others through.
    it("reach one more endpoint before the request is isolated", async () => {
        const system = await startSystem({
            endpoints: 8,
            script: endpoint => (received, socket) =>
                void setTimeout(
                    () => received.target === "/r/bad" ? endpoint.close() : writeAnswer(socket, received, 200, "done"),
                    50,
                ),
        });
        // Hosts keep connections to all endpoints open, on which an attempt is sent at once.
        await Promise.all(
            Array.from({ length: 24 }, (_, index) => send(system, `w${index}`, { target: `/r/warm${index}` })),
        );
        reportCrashes(system);
        const replies = [0, 1, 2, 3, 4, 5].map(async index => {
            await pause(index * 5);
            return send(system, `q${index}`);
        });
        await Promise.all(replies);
        expect(hasLogged(system, "quarantine: request isolated")).toBe(true);
        expect(countRuns(system)).toBeLessThanOrEqual(2);
    });
});

/** Starts an endpoint whose connections are closed 50 ms after a request, and which then accepts them without a reply. */
async function startHangingEndpoint(id: string, received: string[]): Promise<Pick<TestEndpoint, "id" | "address">> {
    const sockets = new Set<Socket>();
    let hasCrashed = false;
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            if (hasCrashed) {
                return;
            }
            if (data.toString("latin1").includes(" /report ")) {
                socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
                return;
            }
            received.push(id);
            setTimeout(() => {
                hasCrashed = true;
                sockets.forEach(each => each.destroy());
            }, 50);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => {
        sockets.forEach(each => each.destroy());
        server.close();
    });
    return { id, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

describe("copies of a request that was on two crashed endpoints, of which a probe has no reply", () => {
    // Guards against copies that end an endpoint each while the probe of the first one waits for its time limit: the end
    // of an attempt lets all others through before it is known whether its endpoint has crashed.
    it("reach one more endpoint before the request is isolated", async () => {
        const received: string[] = [];
        const endpoints: Pick<TestEndpoint, "id" | "address">[] = [];
        for (let index = 0; index < 8; index += 1) {
            endpoints.push(await startHangingEndpoint(`e${index}`, received));
        }
        const host = await startTestHost([createRoute()], endpoints as TestEndpoint[], { graceMs: 200 });
        closers.push(() => host.host.drain());
        const system = { host, endpoints: [] };
        reportCrashes(system);
        await Promise.all([0, 1, 2, 3, 4, 5].map(async index => {
            await pause(index * 5);
            return send(system, `q${index}`);
        }));
        expect(hasLogged(system, "quarantine: request isolated")).toBe(true);
        expect(received.length).toBeLessThanOrEqual(2);
    });
});

describe("a trial", () => {
    // Guards against trials of a sound request that are lost, of which there are two in half an hour.
    it("is given back if its caller has gone while the store was slow", async () => {
        const store = createIsolatingStore(0);
        const slow: TestStore = {
            ...store,
            replaceRow: async (...parameters) => {
                await pause(300);
                return store.replaceRow(...parameters);
            },
        };
        const system = await startSystem({ store: slow, script: () => answer });
        await waitUntil(() => hasLogged(system, "quarantine: request isolated"));
        await pause(RETRY_MS + 50);
        const leave = new AbortController();
        const reply = send(system, "q1", { signal: leave.signal }).catch(() => undefined);
        await pause(150);
        leave.abort();
        await reply;
        await waitUntil(() => hasLogged(system, "quarantine: trial"));
        await pause(500);
        expect(countRuns(system)).toBe(0);
        expect(hasLogged(system, "quarantine: trial was not sent")).toBe(true);
    });
    // Guards against a request that has had its trials and reaches endpoints as the trial of a part of its prompt.
    it("of a part does not admit a request that is isolated as a whole", async () => {
        const system = await startSystem({ store: createIsolatingStore(2, "p1"), script: () => answer });
        await waitUntil(() => hasLogged(system, "quarantine: request isolated"));
        await waitUntil(() => hasLogged(system, "quarantine: part isolated"));
        await pause(RETRY_MS + 50);
        const reply = await send(system, "q1", { headers: { "t-parts": "p1" } });
        expect(countRuns(system)).toBe(0);
        expect(reply[0]).toBe(503);
    });
    // Guards against a sound request that stays refused because its trial met an endpoint that is still down.
    it("goes to the next endpoint if the first one cannot be connected to", async () => {
        const system = await startSystem({ endpoints: 2, store: createIsolatingStore(0), script: () => answer });
        await waitUntil(() => hasLogged(system, "quarantine: request isolated"));
        await pause(RETRY_MS + 50);
        system.endpoints[0]!.close();
        // The choice between two idle endpoints is random; a request that is not isolated is served in any case.
        const { random } = Math;
        closers.push(() => {
            Math.random = random;
        });
        Math.random = () => 0;
        const first = await send(system, "q1");
        expect([first, countRuns(system)]).toEqual([[200, ""], 1]);
    });
    // Guards against a sound stream that stays isolated although an endpoint has answered its trial.
    it("of a stream that is answered with a client's error releases the request", async () => {
        const system = await startSystem({
            route: { kind: "stream", canResume: true },
            store: createIsolatingStore(1),
            script: () => (received, socket) => writeAnswer(socket, received, 400, "{}"),
        });
        await waitUntil(() => hasLogged(system, "quarantine: request isolated"));
        await pause(RETRY_MS + 50);
        expect((await send(system, "q1"))[0]).toBe(400);
        await pause(50);
        expect(hasLogged(system, "quarantine: request released")).toBe(true);
    });
});

describe("a call that a service runs while its request is isolated in another service", () => {
    // Guards against a sound attempt that ends with 502 because the timer of its hedged attempt asks the quarantine.
    it("goes on", async () => {
        const system = await startSystem({
            route: { targetMs: 300 },
            script: () => (received, socket) => void setTimeout(() => writeAnswer(socket, received, 200, "done"), 400),
        });
        const reply = send(system, "q1");
        await waitUntil(() => countRuns(system) === 1);
        const nowMs = performance.now();
        const entry = {
            service: toServiceId("other"),
            suspect,
            revision: 1,
            isIsolated: true,
            changedAtMs: nowMs,
            trials: 0,
        };
        system.host.host.context.quarantine.merge({ reports: [], answers: [], entries: [entry] }, nowMs);
        expect(await reply).toEqual([200, ""]);
    });
});

describe("the cost of the quarantine", () => {
    // Guards against the hash of a large body for each hedged call, while nothing is suspected.
    it("includes no digest of a call that was hedged and answered", async () => {
        const system = await startSystem({
            route: { targetMs: 100 },
            script: () => (received, socket, nth) =>
                void setTimeout(() => writeAnswer(socket, received, 200, "done"), nth === 1 ? 150 : 0),
        });
        expect((await send(system, "q1"))[0]).toBe(200);
        await waitUntil(() => hasLogged(system, "requests: ended"));
        const line = system.host.logged.find(each => each["msg"] === "requests: ended");
        expect((line?.["attempts"] as unknown[]).length).toBe(2);
        expect(line?.["requestDigest"]).toBeUndefined();
    });
});

describe("a request whose caller leaves before the endpoint has ended", () => {
    // Guards against a caller with a short time limit, whose repeats end one endpoint after the other.
    it("is isolated although no attempt breaks", async () => {
        const system = await startSystem({
            endpoints: 8,
            script: endpoint => () => void setTimeout(() => endpoint.close(), 60),
        });
        for (let index = 0; index < 8; index += 1) {
            await send(system, `q${index}`, { headers: { "t-deadline": "40" } });
            await pause(100);
        }
        expect(countRuns(system)).toBeLessThanOrEqual(6);
    });
});
