import { describe, expect, it } from "vitest";
import type { Route } from "../../../src/configuration/model/servingConfiguration.js";
import {
    beginStream,
    type EndpointScript,
    endStream,
    formatEvent,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";
import { sendRequest, startFleet } from "../fleetFixture.js";

const PAUSE_SECONDS = 1.5;
const INTERVAL_MS = 20;

const kinds: readonly { name: string; route: Partial<Route>; }[] = [
    { name: "calls", route: { kind: "repeatable" } },
    { name: "streams", route: { kind: "stream", canResume: true, attempts: 3 } },
];

const answer = (route: Partial<Route>): EndpointScript => (received, socket) => {
    if (route.kind !== "stream") {
        writeAnswer(socket, received, 200, "ok");
        return;
    }
    beginStream(socket, received);
    writeChunk(socket, formatEvent(1));
    writeChunk(socket, formatEvent(2));
    endStream(socket);
};

/** Refuses each request, and states how long the host is to wait. */
const refuse: EndpointScript = (received, socket) =>
    writeAnswer(socket, received, 503, "full", `t-not-run: 1\r\nt-pause: ${PAUSE_SECONDS * 1_000}\r\n`);

describe("an endpoint that refuses requests and states how long to wait", () => {
    // Guards against requests that an endpoint has just said it will refuse.
    it.each(kinds)("gets no $name from the host for that time, and then gets them again", async ({ route }) => {
        const { hosts, arrivals } = await startFleet(route, [refuse, answer(route)]);
        const statuses: number[] = [];
        const startedAtMs = performance.now();
        while (performance.now() - startedAtMs < 3 * PAUSE_SECONDS * 1_000) {
            statuses.push((await sendRequest(hosts[0]!, `r${statuses.length}`)).status);
            await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
        }
        const gaps = (arrivals[0] ?? []).slice(1).map((atMs, index) => atMs - (arrivals[0]?.[index] ?? 0));
        expect(gaps.length).toBeGreaterThanOrEqual(1);
        expect(Math.min(...gaps)).toBeGreaterThanOrEqual(PAUSE_SECONDS * 1_000);
        expect(statuses).toEqual(statuses.map(() => 200));
    });
    // Guards against requests that wait, or are sent where they will be refused, if all endpoints have said so.
    it("is not asked while all others have said so too: the request is refused with the time that is left", async () => {
        const { hosts, arrivals } = await startFleet({ kind: "repeatable" }, [refuse, refuse]);
        await sendRequest(hosts[0]!, "first");
        const reply = await sendRequest(hosts[0]!, "second");
        expect(reply.status).toBe(503);
        expect(Number(reply.retryAfter)).toBeGreaterThan(PAUSE_SECONDS / 2);
        expect(arrivals.flat()).toHaveLength(2);
    });
});
