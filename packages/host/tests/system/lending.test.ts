import { requestJson } from "@currantrill/http";
import { type EndpointId, toEndpointId } from "@currantrill/protocol";
import { afterEach, describe, expect, it, vi } from "vitest";
import { sweepEndpoint } from "../../src/allocations/commands/sweepOrphans.js";
import {
    buildEngineEndpoint,
    getUrl,
    joinTexts,
    OPERATOR_KEY,
    readLedger,
    startTestSystem,
    streamCompletion,
    type TestSystem,
} from "./startTestSystem.js";

const TOKENS = 100;

describe("lending guards against work on an endpoint that its owner has taken back", () => {
    let system: TestSystem;
    afterEach(() => system.stop());

    const getBusyIndex = (): number => {
        const [attempt] = system.hosts[0]!.running.context.attempts.values();
        return Number(attempt!.endpoint.split("-")[1]);
    };

    /** Streams an answer, and runs the step once when its first token has arrived. */
    const streamWithStep = async (step: (busy: number) => Promise<unknown>) => {
        let steps: Promise<unknown> | undefined;
        let busy = -1;
        const answer = await streamCompletion(system.hosts[0]!, { max_tokens: TOKENS }, () => {
            if (steps === undefined) {
                busy = getBusyIndex();
                steps = step(busy);
            }
        });
        await steps;
        const indexes = joinTexts(answer.events).trim().split(" ").map(text => Number(text.split(".")[1]));
        return { events: answer.events, indexes, busy };
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
            step: (busy: number) =>
                system.applyTicket({
                    endpoints: [{
                        ...buildEngineEndpoint(busy, system.engines[busy]!),
                        replaces: 1,
                        lending: "reclaimed",
                        grace_ms: 200,
                    }],
                }),
        },
        {
            name: "the endpoint's own report",
            step: (busy: number) =>
                requestJson(`${getUrl(system.engines[busy]!)}/owner/lending`, {
                    method: "PUT",
                    body: { lending: "withdrawn" },
                }),
        },
        {
            name: "a local stop while the platform is away",
            step: async (busy: number) => {
                await system.platform.close();
                const stop = await requestJson(`${system.hosts[0]!.operatorUrl}/admin/stops`, {
                    method: "POST",
                    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
                    body: { endpoint: `engine-${busy}`, reason: "test" },
                });
                expect(stop.status).toBe(200);
            },
        },
    ])("gives it no new work after $name, and finishes the work in flight", async ({ step }) => {
        system = await startTestSystem({ engines: 2, engineOptions: { decodeTokensPerSecond: 100 } });
        const { events, indexes, busy } = await streamWithStep(step);
        expect(events.at(-1)).toBe("[DONE]");
        expect(indexes).toEqual(Array.from({ length: TOKENS }, (_unused, index) => index));
        await vi.waitUntil(() =>
            system.hosts[0]!.running.context.lending.getReclaims()[toEndpointId(`engine-${busy}`)] !== undefined
        );
        await expectNoNewWork(busy);
    });

    it("moves work that does not end within the grace period, with its KV cache", async () => {
        system = await startTestSystem({ engines: 2, engineOptions: { decodeTokensPerSecond: 100 } });
        const { indexes, busy } = await streamWithStep(index =>
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
        const [reclaimed, other] = await Promise.all([busy, 1 - busy].map(index => readLedger(system.engines[index]!)));
        expect(reclaimed!.entries.map(entry => entry.outcome)).toContain("cancelled");
        expect(other!.entries.map(entry => entry.outcome)).toContain("finished");
    });
});

describe("the sweeper guards against memory that stays held after its owner has forgotten it", () => {
    let system: TestSystem;
    afterEach(() => system.stop());

    it("releases what its owner does not know and keeps what it knows", async () => {
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
