import bunyan from "bunyan";
import { Client } from "undici";
import { afterEach, describe, expect, it, vi } from "vitest";
import { probeEndpoint } from "../../../src/endpoints/commands/probeEndpoint.js";
import { type AttemptFailure, sendAttempt } from "../../../src/endpoints/commands/sendAttempt.js";
import { startProbing } from "../../../src/endpoints/commands/startProbing.js";
import type { ConnectionPool } from "../../../src/endpoints/model/connectionPool.js";
import type { Endpoint, EndpointDirectory } from "../../../src/endpoints/model/endpointDirectory.js";
import { createEndpointHealth } from "../../../src/endpoints/model/endpointHealth.js";
import { testProtocol } from "../../hostFixture.js";

/** A pool whose connections fail with an error code of the operating system. */
function createFailingPool(code: string, onDiscard: () => void = () => undefined): ConnectionPool {
    return {
        acquire: () => ({
            client: new Client("http://127.0.0.1:1", {
                connect: (_options, callback) =>
                    callback(Object.assign(new Error(`connect ${code}`), { code, syscall: "connect" }), null),
            }),
            socket: undefined,
            relay: undefined,
            checkEnd: () => Promise.resolve(false),
            isCut: () => false,
            lastReceivedAtMs: 0,
            hasSocketError: false,
            requestCount: 1,
            refusedIds: new Set<string>(),
            onBytesReceived: undefined,
            onEnd: undefined,
        }),
        release: () => undefined,
        discard: connection => {
            onDiscard();
            void connection.client.destroy();
        },
        discardIdle: () => undefined,
        discardUnusable: () => undefined,
        discardDirect: () => undefined,
        hasSilentDirect: () => false,
        close: () => undefined,
    };
}

const createEndpoint = (code: string, onDiscard: () => void): Endpoint =>
    ({
        entry: { id: "e1" },
        pool: createFailingPool(code, onDiscard),
        health: createEndpointHealth(0),
        notices: { getPauseMs: () => 0, record: () => undefined },
    }) as unknown as Endpoint;

const cases = [
    { code: "EMFILE", failure: "no_resources", probed: "not_probed", isUnresponsive: false },
    { code: "ENFILE", failure: "no_resources", probed: "not_probed", isUnresponsive: false },
    { code: "ENOBUFS", failure: "no_resources", probed: "not_probed", isUnresponsive: false },
    { code: "ENOMEM", failure: "no_resources", probed: "not_probed", isUnresponsive: false },
    { code: "ECONNREFUSED", failure: "not_connected", probed: undefined, isUnresponsive: true },
    { code: "EHOSTUNREACH", failure: "not_connected", probed: undefined, isUnresponsive: true },
] as const;

afterEach(() => vi.useRealTimers());

describe("a host without descriptors or memory for a connection to an endpoint", () => {
    // Guards against a host that avoids all endpoints, and tells its peers to, because it lacks descriptors itself.
    it.each(cases)("attributes $code as $failure", async ({ code, failure }) => {
        const request = { method: "GET", target: "/", headers: [], body: Buffer.alloc(0), usesNewConnection: true };
        const result = await new Promise<AttemptFailure>((resolve, reject) =>
            sendAttempt(createFailingPool(code), request, {
                onSent: () => reject(new Error("sent")),
                onResponse: () => true,
                onData: () => true,
                onEnd: () => reject(new Error("ended")),
                onFailure: resolve,
            })
        );
        expect(result).toBe(failure);
    });

    // Guards against a monitored endpoint that is announced as unresponsive because the probe could not be sent.
    it.each(cases)("takes a probe that fails with $code for one that says: $probed", async case_ => {
        let discarded = 0;
        const endpoint = createEndpoint(case_.code, () => void (discarded += 1));
        const initialHealth = endpoint.health;
        expect(await probeEndpoint(endpoint, testProtocol)).toBe(case_.probed);
        vi.useFakeTimers({ toFake: ["setInterval", "clearInterval"] });
        const stop = startProbing({
            isEvacuated: () => false,
            directory: { listAll: () => [] } as unknown as EndpointDirectory,
            protocol: testProtocol,
            log: bunyan.createLogger({ name: "test", streams: [] }),
            listMonitored: () => [endpoint],
        });
        vi.advanceTimersByTime(1_200);
        stop();
        await vi.waitFor(() => expect(discarded).toBe(2));
        // The probe that has failed is evaluated in microtasks.
        await new Promise(resolve => setImmediate(resolve));
        expect(endpoint.health.isUnresponsive).toBe(case_.isUnresponsive);
        expect(endpoint.health === initialHealth).toBe(!case_.isUnresponsive);
    });
});
