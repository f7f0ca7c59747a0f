/** A large fleet on a paused clock: 34 hosts in two failure domains. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { engine } from "../../engineFixture.js";
import { createRoute, createTestStore, startTestHost, type TestHost, type TestStore } from "../../hostFixture.js";
import { resetNetwork } from "../../memoryNetwork.js";

vi.mock("@currantrill/http", async importOriginal => {
    const { serveHttp, requestJson } = await import("../../memoryNetwork.js");
    return { ...await importOriginal<object>(), serveHttp, requestJson };
});
vi.mock("@currantrill/standins", async importOriginal => {
    const { findFreePorts } = await import("../../memoryNetwork.js");
    return { ...await importOriginal<object>(), findFreePorts };
});
vi.mock("../../../src/peers/commands/openPeerSocket.js", async () => {
    const { openPeerSocket } = await import("../../memoryNetwork.js");
    return { openPeerSocket };
});
vi.mock("../../../src/endpoints/commands/probeEndpoint.js", () => ({ probeEndpoint: () => Promise.resolve({}) }));

const HOSTS_PER_DOMAIN = 17;
const domains = ["a", "b"];
const endpoints = ["e0", "e1", "e2", "e3"].map((id, index) => ({ id, address: `127.0.0.1:${index + 1}` }));

/** Runs what has become ready, of which no part is a timer. */
const waitForCallbacks = setImmediate;

/** Advances the clock by single milliseconds. */
async function advance(ms: number): Promise<void> {
    for (let count = 0; count < ms; count += 1) {
        vi.advanceTimersByTime(1);
        await new Promise<void>(resolve => waitForCallbacks(resolve));
    }
}

/** Advances the clock until a condition is met, at most by 10 s. */
async function advanceUntil(isTrue: () => boolean): Promise<void> {
    const endMs = performance.now() + 10_000;
    while (!isTrue()) {
        expect(performance.now()).toBeLessThan(endMs);
        await advance(1);
    }
}

interface Fleet {
    readonly hosts: readonly TestHost[];
    readonly store: TestStore;
}

/** Starts all hosts within a time, and waits until each of them knows the configuration and the endpoints. */
async function startFleet(startMs: number): Promise<Fleet> {
    const store = createTestStore();
    store.put("configuration", "current", {
        version: 0,
        routes: [createRoute({ kind: "stream", canResume: true })],
        services: [{ name: "desk", engine: engine }],
        limits: { maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    });
    const count = HOSTS_PER_DOMAIN * domains.length;
    const hosts: TestHost[] = [];
    const start = async (index: number): Promise<void> => {
        await new Promise(resolve => setTimeout(resolve, startMs * index / count));
        hosts[index] = await startTestHost([], [], {
            store,
            seeds: ["127.0.0.11:1", "127.0.0.12:1"],
            peerPort: 900,
            ip: `127.0.0.${11 + index}`,
            failureDomain: domains[index % domains.length] ?? "",
        });
    };
    let isStarted = false;
    void Promise.all(Array.from({ length: count }, (_, index) => start(index))).then(() => isStarted = true);
    await advanceUntil(() => isStarted);
    endpoints.forEach((endpoint, index) =>
        hosts[0]?.publish(endpoint, { failureDomain: domains[index % domains.length] as never })
    );
    await advanceUntil(() => hosts.every(host => host.host.context.directory.listAll().length === endpoints.length));
    return { hosts, store };
}

async function sumDatagrams(hosts: readonly TestHost[]): Promise<number> {
    const values = await Promise.all(hosts.map(async ({ host }) => {
        const metric = host.context.metrics.registry.getSingleMetric("currantrill_peer_datagrams_total");
        return (await metric?.get())?.values ?? [];
    }));
    return values.flat().reduce((sum, each) => sum + each.value, 0);
}

describe("a large fleet", () => {
    beforeEach(() =>
        void vi.useFakeTimers({
            toFake: [
                "setTimeout",
                "clearTimeout",
                "setInterval",
                "clearInterval",
                "setImmediate",
                "clearImmediate",
                "performance",
                "Date",
            ],
        })
    );
    // Ends the hosts, which have nothing but timers.
    afterEach(() => {
        vi.useRealTimers();
        resetNetwork();
    });

    // Guards against control whose cost for a host grows with the number of hosts, also while a fleet grows: hosts that do not
    // start at the same time are a small fleet at first.
    it.each([0, 200, 500, 2_000])(
        "copies tables from coordinators, and exchanges few messages, if its hosts start within %d ms",
        async startMs => {
            const { hosts, store } = await startFleet(startMs);
            expect(store.calls).toBeLessThan(2 * 4 * 6 + 6);
            await advance(1_500);
            const before = await sumDatagrams(hosts);
            const callsBefore = store.calls;
            await advance(2_000);
            // Each datagram is counted by its sender and its recipient.
            const perHostAndSecond = (await sumDatagrams(hosts) - before) / 2 / 2 / hosts.length;
            // Two states to coordinators and two digests from them twice a second, and those between coordinators.
            expect(perHostAndSecond).toBeLessThan(12);
            expect(store.calls - callsBefore).toBeLessThan(20);
            hosts[0]?.configure({ routes: [createRoute({ kind: "stream", prefix: "/new/" })] });
            await advanceUntil(() =>
                hosts.every(host => host.host.context.getConfiguration()?.configuration.routes[0]?.prefix === "/new/")
            );
        },
    );
});
