import { toServiceId } from "@currantrill/protocol";
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { QuarantineEntry } from "../../../src/quarantine/model/quarantineEntry.js";
import { toPartSuspect } from "../../../src/quarantine/model/suspect.js";
import {
    beginStream,
    createRoute,
    createTestStore,
    endStream,
    formatEvent,
    type HostOptions,
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

const entry: QuarantineEntry = {
    service: toServiceId("desk"),
    suspect: toPartSuspect("bad"),
    revision: 4,
    isIsolated: true,
    changedAtMs: 0,
    trials: 0,
};

/** The entry as it is stored. */
const row = { service: "desk", part: "bad", revision: 4, isIsolated: true, trials: 0 };

interface System {
    readonly host: TestHost;
    readonly endpoints: readonly TestEndpoint[];
    /** Whether endpoints end once they begin to write on a prompt with the part. */
    isDeadly: boolean;
}

/** Starts a host with three endpoints and a store in which a part is isolated, as after the loss of all hosts. */
async function startSystem(quarantine: HostOptions["quarantine"] = {}): Promise<System> {
    const endpoints: TestEndpoint[] = [];
    const store = createTestStore();
    for (const id of ["e0", "e1", "e2"]) {
        endpoints.push(
            await startEndpoint(id, (received, socket) => {
                if (received.headers["t-parts"] === "queued") {
                    return;
                }
                if (received.headers["t-parts"] === "suspect" && countReceived(system) === 1) {
                    writeAnswer(socket, received, 503, "", "t-not-run: 1\r\n");
                    return;
                }
                beginStream(socket, received);
                if (system.isDeadly && received.headers["t-parts"] === "bad") {
                    setTimeout(() => endpoints.find(endpoint => endpoint.id === id)?.close(), 5);
                    return;
                }
                writeChunk(socket, formatEvent(1));
                writeChunk(socket, formatEvent(2));
                endStream(socket);
            }),
        );
    }
    store.put("quarantine", "desk bad", row);
    store.put("quarantine", "another row", { what: "is this" });
    const host = await startTestHost(
        [createRoute({ kind: "stream", canResume: true, attempts: 3 })],
        endpoints,
        { graceMs: 200, storeToUse: store, quarantine },
    );
    const system: System = { host, endpoints, isDeadly: true };
    closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
    await waitUntil(() => host.logged.some(line => line["msg"] === "quarantine: part isolated"));
    return system;
}

const BROKEN_OFF = "the response was broken off";

/** Sends a prompt. The status is 0 if the response is broken off. */
async function send(
    { host }: System,
    parts: string,
): Promise<{ status: number; code: unknown; retryAfter: number; }> {
    const reply = await request(`${host.url}/r/x`, {
        method: "POST",
        headers: { "host": "desk.example", "t-id": "q1", "t-parts": parts },
    });
    const text = await reply.body.text().catch(() => BROKEN_OFF);
    const isRefused = reply.statusCode !== 200;
    return {
        status: text === BROKEN_OFF ? 0 : reply.statusCode,
        code: isRefused ? (JSON.parse(text) as { error: { code: string; }; }).error.code : undefined,
        retryAfter: Number(reply.headers["retry-after"]),
    };
}

const countReceived = ({ endpoints }: System): number => endpoints.flatMap(endpoint => endpoint.received).length;

describe("an isolated part", () => {
    // Guards against crashes that are paid for again after all hosts have lost power.
    it("is read from the store, and prompts with it are refused with the cause and not run", async () => {
        const system = await startSystem();
        const { status, code, retryAfter } = await send(system, "bad");
        expect({ status, code }).toEqual({ status: 503, code: "part_isolated" });
        expect(retryAfter).toBeGreaterThan(5);
        expect((await send(system, "good")).status).toBe(200);
        expect(countReceived(system)).toBe(1);
        expect(system.host.logged.some(line => line["msg"] === "quarantine: invalid row ignored")).toBe(true);
        expect(system.host.logged.find(line => line["msg"] === "requests: ended")).toMatchObject({
            isolatedPart: "bad",
            outcome: "part_isolated",
        });
    });
    // Guards against prompts that are already at an endpoint and crash it after the part is known.
    it("aborts prompts that no endpoint has answered yet", async () => {
        const system = await startSystem();
        const reply = send(system, "queued");
        await waitUntil(() => countReceived(system) === 1);
        system.host.host.context.quarantine.merge({
            reports: [],
            answers: [],
            entries: [{ ...entry, suspect: toPartSuspect("queued"), changedAtMs: performance.now() }],
        }, performance.now());
        expect(await reply).toMatchObject({ status: 502, code: "crash_suspected" });
        await waitUntil(() =>
            system.endpoints.some(endpoint => endpoint.received.length === 1 && endpoint.closed === 1)
        );
        expect(countReceived(system)).toBe(1);
    });
    // Guards against a suspicion that stops a prompt which no endpoint has run yet.
    it("does not keep a suspected prompt from another endpoint if the first one has refused it", async () => {
        const system = await startSystem();
        const nowMs = performance.now();
        system.host.host.context.quarantine.merge({
            reports: ["x1", "x2"].map(endpointId => ({
                endpointId,
                processStartedAtMs: 1,
                service: entry.service,
                crashedAtMs: nowMs,
                begunParts: [toPartSuspect("suspect")],
                waitingParts: [],
                requests: [],
            })),
            answers: [],
            entries: [],
        }, nowMs);
        expect((await send(system, "suspect")).status).toBe(200);
        expect(countReceived(system)).toBe(2);
    });
    // Guards against a trial that is repeated on endpoint after endpoint, or that each host makes.
    it("is tried once at a time, and stays isolated if the endpoint crashes", async () => {
        const system = await startSystem({ retry_after_ms: 300 });
        await new Promise(resolve => setTimeout(resolve, 350));
        const replies = await Promise.all([send(system, "bad"), send(system, "bad"), send(system, "bad")]);
        expect(replies.map(reply => reply.status).sort()).toEqual([0, 503, 503]);
        expect(countReceived(system)).toBe(1);
        expect((await send(system, "bad")).status).toBe(503);
        expect((await send(system, "good")).status).toBe(200);
    });
    // Guards against a part that stays isolated after its prompts have become harmless.
    it("is released by a trial that is answered", async () => {
        const system = await startSystem({ retry_after_ms: 300 });
        system.isDeadly = false;
        await new Promise(resolve => setTimeout(resolve, 350));
        expect((await send(system, "bad")).status).toBe(200);
        expect((await send(system, "bad")).status).toBe(200);
        expect(system.host.logged.some(line => line["msg"] === "quarantine: part released")).toBe(true);
        expect((await send(system, "bad")).status).toBe(200);
    });
    // Guards against a trial by a host that does not know that another one has just made it.
    it("is not tried if the row in the store has changed", async () => {
        const system = await startSystem({ retry_after_ms: 300 });
        // The host writes what it has read within a second, reads the row for that, and would know of a change before.
        await new Promise(resolve => setTimeout(resolve, 1_100));
        system.host.store.put("quarantine", "desk bad", { ...row, revision: 9 });
        await new Promise(resolve => setTimeout(resolve, 350));
        expect((await send(system, "bad")).status).toBe(503);
        expect(countReceived(system)).toBe(0);
    });
    // Guards against several hosts that make a trial at once, since nothing decides between them.
    it("is not tried while the store is down", async () => {
        const system = await startSystem({ retry_after_ms: 300 });
        system.host.store.isDown = true;
        await new Promise(resolve => setTimeout(resolve, 350));
        expect((await send(system, "bad")).status).toBe(503);
        expect(countReceived(system)).toBe(0);
    });
});
