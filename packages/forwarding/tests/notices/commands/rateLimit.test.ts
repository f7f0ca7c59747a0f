import { describe, expect, it } from "vitest";
import type { Route } from "../../../src/configuration/model/servingConfiguration.js";
import {
    beginStream,
    type EndpointScript,
    endStream,
    formatEvent,
    type TestHost,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";
import { type Reply, sendRequest, startFleet, type TestFleet } from "../fleetFixture.js";

/** Time in which the fleet has to begin to keep to a limit. */
const SETTLE_MS = 1_000;
/** Time over which the requests at an endpoint are counted. */
const WINDOW_MS = 4_000;
const INTERVAL_MS = 30;
/** Most requests that an endpoint with a limit may get in the window. */
const countAllowed = (requestsPerSecond: number): number => 1.5 * requestsPerSecond * WINDOW_MS / 1_000 + 5;

const formatLimit = (requestsPerSecond: number): string => `t-limit: ${requestsPerSecond}\r\n`;

/** Starts two hosts before endpoints, each of which names its limit, or none, in all responses. */
async function startLimitedFleet(
    route: Partial<Route>,
    limits: readonly (number | undefined)[],
): Promise<TestFleet> {
    const scripts = limits.map((limit): EndpointScript => {
        const header = limit === undefined ? "" : formatLimit(limit);
        return (received, socket) => {
            if (route.kind !== "stream") {
                writeAnswer(socket, received, 200, "ok", header);
                return;
            }
            beginStream(socket, received, header);
            writeChunk(socket, formatEvent(1));
            writeChunk(socket, formatEvent(2));
            endStream(socket);
        };
    });
    const fleet = await startFleet(route, scripts);
    limits.forEach((limit, index) => {
        const endpoint = fleet.endpoints[index];
        if (endpoint !== undefined && limit !== undefined) {
            endpoint.reportHeaders = formatLimit(limit);
        }
    });
    return fleet;
}

/** Sends requests to the hosts in turn, until the window has ended after the fleet has settled. */
async function sendLoad(hosts: readonly TestHost[]): Promise<{ replies: Reply[]; settledAtMs: number; }> {
    const startedAtMs = performance.now();
    const replies: Promise<Reply>[] = [];
    while (performance.now() - startedAtMs < SETTLE_MS + WINDOW_MS) {
        replies.push(sendRequest(hosts[replies.length % hosts.length]!, `r${replies.length}`));
        await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
    }
    return { replies: await Promise.all(replies), settledAtMs: startedAtMs + SETTLE_MS };
}

const kinds: readonly { name: string; route: Partial<Route>; }[] = [
    { name: "calls", route: { kind: "repeatable" } },
    { name: "calls that run once", route: { kind: "once", attempts: 1 } },
    { name: "streams", route: { kind: "stream", canResume: true, attempts: 3 } },
];

describe("endpoints that name a rate limit", () => {
    // Guards against hosts that each keep to a limit, or to none, while the sum of their requests exceeds it.
    it.each(kinds)("get no more $name from all hosts together than it allows", async ({ route }) => {
        const { hosts, arrivals } = await startLimitedFleet(route, [1, undefined, undefined]);
        const { replies, settledAtMs } = await sendLoad(hosts);
        const atLimited = arrivals[0]?.filter(atMs => atMs >= settledAtMs).length ?? 0;
        expect(atLimited).toBeLessThanOrEqual(countAllowed(1));
        expect(atLimited).toBeGreaterThanOrEqual(2);
        expect(replies.map(reply => reply.status)).toEqual(replies.map(() => 200));
    });
    // Guards against more requests than the limit allows while another host begins to grant them.
    it("get no more than it allows while the host that grants permits is stopped", async () => {
        const { hosts, arrivals } = await startLimitedFleet({ kind: "repeatable" }, [1, undefined]);
        const stopped = hosts[0]?.host;
        setTimeout(() => void stopped?.drain(), SETTLE_MS + WINDOW_MS / 3);
        const { settledAtMs } = await sendLoad(hosts.slice(1));
        const atLimited = arrivals[0]?.filter(atMs => atMs >= settledAtMs).length ?? 0;
        expect(atLimited).toBeLessThanOrEqual(countAllowed(1));
        expect(atLimited).toBeGreaterThanOrEqual(2);
    });
    // Guards against requests that wait for an endpoint, or try all of them, if it is known that none may take them.
    it("share what they can take, and the rest is refused at once with a time to come back", async () => {
        const { hosts, arrivals } = await startLimitedFleet({ kind: "repeatable" }, [1, 2]);
        const { replies, settledAtMs } = await sendLoad(hosts);
        const counts = arrivals.map(times => times.filter(atMs => atMs >= settledAtMs).length);
        expect(counts[0]).toBeLessThanOrEqual(countAllowed(1));
        expect(counts[1]).toBeLessThanOrEqual(countAllowed(2));
        const refused = replies.filter(reply => reply.status === 503);
        expect(refused.length).toBeGreaterThan(replies.length / 2);
        expect(refused.filter(reply => !(Number(reply.retryAfter) > 0.1))).toEqual([]);
        expect(refused.filter(reply => reply.durationMs >= 1_000)).toEqual([]);
    });
});
