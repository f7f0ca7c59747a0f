import { requestJson } from "@currantrill/http";
import { type EndpointId, toEndpointId } from "@currantrill/protocol";
import { afterEach, describe, expect, it, vi } from "vitest";
import { sweepEndpoint } from "../../src/allocations/commands/sweepOrphans.js";
import {
    buildEngineEndpoint,
    getUrl,
    joinTokenTexts,
    OPERATOR_KEY,
    readLedger,
    startTestSystem,
    streamCompletion,
    type TestSystem,
} from "./startTestSystem.js";

const TOKENS = 100;

describe("lending guards against new work on an endpoint that its owner has reclaimed", () => {
    let system: TestSystem;
    afterEach(() => system.stop());

    const getBusyIndex = (): number => {
        const [attempt] = system.hosts[0]!.running.context.attempts.values();
        return Number(attempt!.endpoint.split("-")[1]);
    };

    /** Streams a completion and runs the step once, when the first token arrives. */
    const streamAndRunStep = async (step: (busyIndex: number) => Promise<unknown>) => {
        let steps: Promise<unknown> | undefined;
        let busyIndex = -1;
        const answer = await streamCompletion(system.hosts[0]!, { max_tokens: TOKENS }, () => {
            if (steps === undefined) {
                busyIndex = getBusyIndex();
                steps = step(busyIndex);
            }
        });
        await steps;
        const indexes = joinTokenTexts(answer.events).trim().split(" ").map(text => Number(text.split(".")[1]));
        return { events: answer.events, indexes, busyIndex };
    };

    const expectNoNewWork = async (index: number): Promise<void> => {
        const count = async () => (await readLedger(system.engines[index]!)).entries.length;
        const before = await count();
        for (let request = 0; request < 5; request += 1) {
            await streamCompletion(system.hosts[0]!, { max_tokens: 1 });
        }
        expect(await count()).toBe(before);
    };

    it.each([
        {
            name: "a ticket that reclaims it",
            step: (busyIndex: number) =>
                system.applyTicket({
                    endpoints: [{
                        ...buildEngineEndpoint(busyIndex, system.engines[busyIndex]!),
                        replaces: 1,
                        lending: "reclaimed",
                        grace_ms: 200,
                    }],
                }),
        },
        {
            name: "a withdrawal that the endpoint reports",
            step: (busyIndex: number) =>
                requestJson(`${getUrl(system.engines[busyIndex]!)}/owner/lending`, {
                    method: "PUT",
                    body: { lending: "withdrawn" },
                }),
        },
        {
            name: "a local stop while the platform is unreachable",
            step: async (busyIndex: number) => {
                await system.platform.close();
                const stop = await requestJson(`${system.hosts[0]!.operatorUrl}/admin/stops`, {
                    method: "POST",
                    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
                    body: { endpoint: `engine-${busyIndex}`, reason: "test" },
                });
                expect(stop.status).toBe(200);
            },
        },
    ])("sends no new work after $name, and finishes the work in flight", async ({ step }) => {
        system = await startTestSystem({ engines: 2, engineOptions: { decodeTokensPerSecond: 100 } });
        const { events, indexes, busyIndex } = await streamAndRunStep(step);
        expect(events.at(-1)).toBe("[DONE]");
        expect(indexes).toEqual(Array.from({ length: TOKENS }, (_unused, index) => index));
        await vi.waitUntil(() =>
            system.hosts[0]!.running.context.lending.getReclaims()[toEndpointId(`engine-${busyIndex}`)] !== undefined
        );
        await expectNoNewWork(busyIndex);
    });

    it("moves work that would not end within the grace period, and its KV cache, to another engine", async () => {
        system = await startTestSystem({ engines: 2, engineOptions: { decodeTokensPerSecond: 100 } });
        const { indexes, busyIndex } = await streamAndRunStep(index =>
            system.applyTicket({
                endpoints: [{
                    ...buildEngineEndpoint(index, system.engines[index]!),
                    replaces: 1,
                    lending: "reclaimed",
                    grace_ms: 100,
                }],
            })
        );
        expect(indexes).toEqual(Array.from({ length: TOKENS }, (_unused, index) => index));
        const [reclaimed, other] = await Promise.all(
            [busyIndex, 1 - busyIndex].map(index => readLedger(system.engines[index]!)),
        );
        expect(reclaimed!.entries.map(entry => entry.outcome)).toContain("cancelled");
        expect(other!.entries.map(entry => entry.outcome)).toContain("finished");
    });
});

describe("the orphan sweeper guards against memory that stays allocated although its owner has no record of it", () => {
    let system: TestSystem;
    afterEach(() => system.stop());

    it("releases allocations of attempts that their owner does not run, and keeps the other allocations", async () => {
        system = await startTestSystem();
        const { context } = system.hosts[0]!.running;
        const allocate = (id: string) =>
            requestJson(`${getUrl(system.engines[0]!)}/v1/allocations`, {
                method: "POST",
                body: {
                    allocation_id: id,
                    request_id: "r",
                    owner: context.incarnation,
                    tokens: 10,
                    ttl_ms: 60_000,
                },
            });
        const endpoint: EndpointId = toEndpointId("engine-0");
        await allocate(`${context.incarnation}.forgotten.0`);
        await allocate("made-by-somebody-else");
        const known = await context.allocations.request({
            attempt: "known" as never,
            requestId: "r" as never,
            endpoint,
            tokens: 10,
        });
        await sweepEndpoint(context, new Map(), endpoint);
        const held = (await readLedger(system.engines[0]!)).held.map(entry => entry.allocationId);
        expect(held.sort()).toEqual([known, "made-by-somebody-else"].sort());
        context.allocations.release("known" as never);
        await vi.waitUntil(() => context.allocations.countHeld() === 0);
    });
});
