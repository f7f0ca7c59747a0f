/** Memory at helper endpoints after their primary endpoint has become unresponsive, on a paused clock without a network. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { requestEndpoint } from "../../../src/endpoints/commands/requestEndpoint.js";
import type { Endpoint } from "../../../src/endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../../src/model/forwardingContext.js";
import type { EndpointCall, EndpointReport } from "../../../src/ports/index.js";
import { monitorPrimary } from "../../../src/reservations/commands/monitorPrimary.js";
import { reserveShardMemory } from "../../../src/reservations/commands/reserveShardMemory.js";
import { createStallCheck } from "../../../src/reservations/model/stallCheck.js";
import { testProtocol } from "../../hostFixture.js";

/** In place of the pool of an endpoint. Returns whether it answers an order. */
interface FakePool {
    readonly receive: (call: EndpointCall) => boolean;
}

vi.mock("../../../src/endpoints/commands/requestEndpoint.js", () => {
    const send: typeof requestEndpoint = (pool, call, { timeoutMs }) =>
        (pool as unknown as FakePool).receive(call)
            ? Promise.resolve({ status: 200, body: Buffer.from("{}") })
            : new Promise((_resolve, reject) => void setTimeout(() => reject(new Error("no reply")), timeoutMs));
    return { requestEndpoint: send };
});

const FREE_MS = 4_000;
const report = {} as EndpointReport;
type Probe = () => Promise<EndpointReport | undefined>;

/** A helper that holds memory until the end of its lease. It drops the first `lostReleases` orders to release it. */
function createHelper(lostReleases: number): { endpoint: Endpoint; isHeld: () => boolean; } {
    let heldUntilMs = -Infinity;
    let releases = 0;
    const pool: FakePool = {
        receive: ({ path, body = "" }) => {
            if (path === "/reserve") {
                heldUntilMs = performance.now() + (JSON.parse(body) as { holdMs: number; }).holdMs;
                return true;
            }
            releases += 1;
            if (releases <= lostReleases) {
                return false;
            }
            heldUntilMs = -Infinity;
            return true;
        },
    };
    const notices = { record: () => undefined };
    const warmth = { recordResponse: () => undefined };
    const endpoint = { entry: { id: "e0" }, pool, notices, warmth } as unknown as Endpoint;
    return { endpoint, isHeld: () => performance.now() < heldUntilMs };
}

const context = {
    settings: { reservations: { free_ms: FREE_MS } },
    evacuations: { isEvacuated: () => false },
    createReservationId: () => "r1",
    protocol: testProtocol,
    metrics: { reservations: { inc: () => undefined } },
    log: { info: () => undefined, warn: () => undefined },
} as unknown as ForwardingContext;

const unanswered: Probe = () => new Promise(resolve => void setTimeout(() => resolve(undefined), 300));
const hanging: Probe = () => new Promise(() => undefined);

describe("memory at a helper endpoint", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against memory that stays reserved, and is renewed, for a prompt whose primary endpoint has gone. The endpoint
    // becomes silent at different times between two probes.
    it.each(
        [
            { name: "its probes are not answered", probe: unanswered, lostReleases: 0, withinMs: 2_400 },
            { name: "its probes hang", probe: hanging, lostReleases: 0, withinMs: 2_600 },
            { name: "the order to release gets no answer once", probe: unanswered, lostReleases: 1, withinMs: FREE_MS },
            {
                name: "its probes hang and so does the first release",
                probe: hanging,
                lostReleases: 1,
                withinMs: FREE_MS,
            },
            // The lease, which has been renewed until the release, ends by itself.
            { name: "no order to release arrives", probe: unanswered, lostReleases: Infinity, withinMs: 5_600 },
        ].flatMap(each => [0, 300, 799].map(offsetMs => ({ ...each, offsetMs }))),
    )("is released after the primary has gone, $offsetMs ms after a probe, if $name", async each => {
        const helper = createHelper(each.lostReleases);
        const held = await reserveShardMemory(context, [{ endpoint: helper.endpoint, tokens: 1_000 }]);
        let isSilent = false;
        const stop = monitorPrimary({
            hasStalled: () => false,
            probe: () => isSilent ? each.probe() : Promise.resolve(report),
            onUnresponsive: () => held?.release(),
        });
        await vi.advanceTimersByTimeAsync(8_000 + each.offsetMs);
        expect(helper.isHeld()).toBe(true);
        isSilent = true;
        const silentAtMs = performance.now();
        while (helper.isHeld() && performance.now() - silentAtMs < 20_000) {
            await vi.advanceTimersByTimeAsync(10);
        }
        expect(performance.now() - silentAtMs).toBeLessThanOrEqual(each.withinMs);
        // Nothing reserves it again.
        await vi.advanceTimersByTimeAsync(20_000);
        expect(helper.isHeld()).toBe(false);
        stop();
    });
    // Guards against memory that is kept until the deadline for a stream that is dead while its primary endpoint answers
    // probes, and against a release before the first event, while events arrive, or while the caller reads slowly.
    it.each([
        { name: "a stream that dies", eventsUntilMs: 5_000, releasedAfterMs: FREE_MS },
        { name: "a stream that has not begun", eventsUntilMs: 0, releasedAfterMs: undefined },
        { name: "a stream that goes on", eventsUntilMs: Infinity, releasedAfterMs: undefined },
        { name: "a slow caller", eventsUntilMs: 5_000, isWaitingForCaller: true, releasedAfterMs: undefined },
    ])("handles $name, if the primary answers probes", async each => {
        const helper = createHelper(0);
        const held = await reserveShardMemory(context, [{ endpoint: helper.endpoint, tokens: 1_000 }]);
        const startedAtMs = performance.now();
        const stop = monitorPrimary({
            probe: () => Promise.resolve(report),
            hasStalled: createStallCheck({
                countEvents: () => Math.floor(Math.min(performance.now() - startedAtMs, each.eventsUntilMs) / 50),
                isWaitingForCaller: () => each.isWaitingForCaller === true,
                targetPauseMs: 100,
            }),
            onUnresponsive: () => held?.release(),
        });
        while (helper.isHeld() && performance.now() - startedAtMs < 30_000) {
            await vi.advanceTimersByTimeAsync(100);
        }
        const elapsedMs = performance.now() - startedAtMs;
        if (each.releasedAfterMs === undefined) {
            expect(elapsedMs).toBeGreaterThanOrEqual(30_000);
        }
        else {
            expect(elapsedMs).toBeGreaterThan(each.eventsUntilMs);
            expect(elapsedMs - each.eventsUntilMs).toBeLessThanOrEqual(each.releasedAfterMs);
        }
        stop();
        held?.release();
    });
});
