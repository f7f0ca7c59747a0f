import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { RequestKind } from "../../../src/configuration/model/servingConfiguration.js";
import { createRequestIdentity } from "../../../src/quarantine/model/requestIdentity.js";
import { toRequestSuspect } from "../../../src/quarantine/model/suspect.js";
import {
    beginStream,
    createRoute,
    createTestStore,
    endStream,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const identity = createRequestIdentity({
    method: "POST",
    host: "desk.example",
    target: "/r/bad",
    body: Buffer.from("{}"),
});
const suspect = toRequestSuspect(identity.getDigest());
const TRIAL_MS = 300;

/** What endpoints do with the isolated request. */
type Behaviour = "answer" | "crash" | "refuse" | "wait";

const REFUSED = [503, "not_run"] as const;

interface System {
    readonly host: TestHost;
    readonly endpoints: readonly TestEndpoint[];
    behaviour: Behaviour;
}

/** Starts a host with three endpoints and a store in which a request is isolated, as after the loss of all hosts. */
async function startSystem(kind: RequestKind, behaviour: Behaviour, trials = 0): Promise<System> {
    const endpoints: TestEndpoint[] = [];
    const store = createTestStore();
    for (const id of ["e0", "e1", "e2"]) {
        endpoints.push(
            await startEndpoint(id, (received, socket) => {
                const isBad = received.target === "/r/bad";
                if (isBad && system.behaviour === "crash") {
                    endpoints.find(endpoint => endpoint.id === id)?.close();
                }
                else if (isBad && system.behaviour === "refuse") {
                    writeAnswer(socket, received, 503, "", "t-not-run: 1\r\n");
                }
                else if (isBad && system.behaviour === "wait") {
                    return;
                }
                else if (kind === "stream") {
                    beginStream(socket, received);
                    [1, 2].forEach(event => writeChunk(socket, formatEvent(event)));
                    endStream(socket);
                }
                else {
                    writeAnswer(socket, received, 200, "done");
                }
            }),
        );
    }
    const row = { service: "desk", part: suspect, revision: 4, isIsolated: true, trials };
    store.put("quarantine", `desk ${suspect}`, row);
    const host = await startTestHost(
        [createRoute({ kind, canResume: kind === "stream", attempts: kind === "once" ? 1 : 3 })],
        endpoints,
        { graceMs: 200, storeToUse: store, quarantine: { retry_after_ms: TRIAL_MS } },
    );
    const system: System = { host, endpoints, behaviour };
    closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
    await waitUntil(() => host.logged.some(line => line["msg"] === "quarantine: request isolated"));
    return system;
}

/** Sends a request and returns the status and the error code. */
async function send({ host }: System, target = "/r/bad", id = "q1"): Promise<readonly [number, string | undefined]> {
    const reply = await request(`${host.url}${target}`, {
        method: "POST",
        headers: { "host": "desk.example", "t-id": id },
        body: "{}",
    });
    const text = await reply.body.text();
    return reply.statusCode === 200
        ? [200, undefined]
        : [reply.statusCode, (JSON.parse(text) as { error: { code: string; }; }).error.code];
}

const countReceived = ({ endpoints }: System): number => endpoints.flatMap(endpoint => endpoint.received).length;
const passTrialTime = (): Promise<void> => new Promise(resolve => setTimeout(resolve, TRIAL_MS + 50));

describe.each(["repeatable", "once", "stream"] as const)("an isolated request of kind %s", kind => {
    // Guards against crashes that are paid for again after all hosts have lost power, and against wide blame.
    it("is refused with the cause and not run, other requests are served", async () => {
        const system = await startSystem(kind, "crash");
        expect(await send(system)).toEqual([503, "request_isolated"]);
        expect(await send(system, "/r/good")).toEqual([200, undefined]);
        expect(countReceived(system)).toBe(1);
        expect(system.host.logged.find(line => line["msg"] === "requests: ended")).toMatchObject({
            isolatedRequest: identity.getDigest(),
            outcome: "request_isolated",
        });
    });
    // Guards against a trial that ends one endpoint after the other, and against trials without end.
    it("reaches one endpoint in a trial that fails, and none after the last trial", async () => {
        const system = await startSystem(kind, "crash", 1);
        await passTrialTime();
        const replies = await Promise.all([send(system), send(system), send(system)]);
        expect(replies.map(([status]) => status).sort()).toEqual([502, 503, 503]);
        await passTrialTime();
        expect(await send(system)).toEqual([503, "request_isolated"]);
        expect(countReceived(system)).toBe(1);
    });
    // Guards against a sound request that stays isolated.
    it("is released by a trial that is answered", async () => {
        const system = await startSystem(kind, "answer");
        await passTrialTime();
        expect(await send(system)).toEqual([200, undefined]);
        expect(await send(system)).toEqual([200, undefined]);
        expect(system.host.logged.some(line => line["msg"] === "quarantine: request released")).toBe(true);
    });
    // Guards against trials that are spent while all endpoints are down.
    it("has its trial back if it could not be sent", async () => {
        const system = await startSystem(kind, "answer", 1);
        system.endpoints.forEach(endpoint => endpoint.close());
        await passTrialTime();
        expect((await send(system))[0]).toBe(503);
        await waitUntil(() => system.host.logged.some(line => line["msg"] === "quarantine: trial was not sent"));
    });
    // Guards against trials without end on endpoints that are full: each of them reaches an endpoint.
    it("has no further trial if an endpoint has refused the last one", async () => {
        const system = await startSystem(kind, "refuse", 1);
        await passTrialTime();
        expect(await send(system)).toEqual(REFUSED);
        await passTrialTime();
        expect(await send(system)).toEqual([503, "request_isolated"]);
        expect(countReceived(system)).toBe(1);
    });
});

describe.each(["repeatable", "once"] as const)("a call of kind %s", kind => {
    // Guards against calls that are already at an endpoint and crash it after the request is known.
    it("is aborted when its request is isolated, if no endpoint has answered it", async () => {
        const system = await startSystem(kind, "wait");
        const { quarantine } = system.host.host.context;
        const [entry] = quarantine.share(performance.now()).entries;
        const releaseEntry = { ...entry!, revision: 9, isIsolated: false };
        quarantine.merge({ reports: [], answers: [], entries: [releaseEntry] }, performance.now());
        const reply = send(system);
        await waitUntil(() => countReceived(system) === 1);
        quarantine.merge(
            { reports: [], answers: [], entries: [{ ...releaseEntry, revision: 10, isIsolated: true }] },
            performance.now(),
        );
        expect(await reply).toEqual([502, "crash_suspected"]);
        await waitUntil(() => system.endpoints.some(({ received, closed }) => received.length === 1 && closed === 1));
        expect(countReceived(system)).toBe(1);
    });
});
