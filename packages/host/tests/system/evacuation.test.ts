import { requestJson } from "@currantrill/http";
import type { DomainsAnswer } from "@currantrill/protocol";
import { afterEach, describe, expect, it, vi } from "vitest";
import { listPlacementEndpoints } from "../../src/placement/queries/listPlacementEndpoints.js";
import {
    buildEngineEndpoint,
    callerHeaders,
    OPERATOR_KEY,
    readLedger,
    startTestSystem,
    streamCompletion,
    type TestSystem,
} from "./startTestSystem.js";

type State = "evacuated" | "in_service";
const TOKENS = 60;
const PROMPT_LARGER_THAN_AN_ENGINE = 600_000;

describe("evacuation guards against new work in a domain, interrupted work, and prompts that wait in vain", () => {
    let system: TestSystem;
    afterEach(() => system.stop());

    /** Starts two engines, the second one in the domain `b`, and one service in the domain `a`. */
    const start = async (engineOptions = {}): Promise<void> => {
        system = await startTestSystem({ engines: 2, engineOptions });
        await system.applyTicket({
            endpoints: [{ ...buildEngineEndpoint(1, system.engines[1]!), replaces: 1, failure_domain: "b" }],
        });
    };
    const context = () => system.hosts[0]!.running.context;
    const setDomain = (name: string, replaces: number, state: State) =>
        system.applyTicket({ domains: [{ name, replaces, state }] });
    const countStarts = async () =>
        Promise.all(system.engines.map(async engine => (await readLedger(engine)).entries.length));
    const complete = (body: Record<string, unknown> = {}) =>
        requestJson(`${system.hosts[0]!.url}/v1/completions`, {
            method: "POST",
            headers: callerHeaders,
            body: { model: "model", prompt: "x", max_tokens: 1, ...body },
            timeoutMs: 20_000,
        });
    const callService = () => requestJson(`${system.hosts[0]!.url}/services/orders/stock`, { headers: callerHeaders });

    it("finishes work in progress, and sends new work to the other domain until the return", async () => {
        await start({ decodeTokensPerSecond: 100 });
        let steps: Promise<void> | undefined;
        let busyDomain = "";
        const answer = await streamCompletion(system.hosts[0]!, { max_tokens: TOKENS }, () => {
            if (steps === undefined) {
                const [attempt] = context().attempts.values();
                busyDomain = attempt?.endpoint === "engine-0" ? "a" : "b";
                steps = setDomain(busyDomain, 0, "evacuated");
            }
        });
        await steps;
        const busyIndex = busyDomain === "a" ? 0 : 1;
        expect(answer.events).toHaveLength(TOKENS + 1);
        const { entries } = await readLedger(system.engines[busyIndex]!);
        expect(entries.map(entry => entry.outcome)).toEqual(["started", "finished"]);
        const before = await countStarts();
        const placed = listPlacementEndpoints(context(), { startedAtMs: 0, unreachableSince: new Map() } as never);
        expect(placed.map(endpoint => endpoint.isUsable)).toEqual(busyIndex === 0 ? [false, true] : [true, false]);
        for (let request = 0; request < 5; request += 1) {
            expect((await complete()).status).toBe(200);
        }
        const after = await countStarts();
        expect(after[busyIndex]).toBe(before[busyIndex]);
        expect(after[1 - busyIndex]).toBeGreaterThan(before[1 - busyIndex]!);
        await setDomain(busyDomain, 3, "in_service");
        await setDomain(busyDomain === "a" ? "b" : "a", 0, "evacuated");
        expect((await complete()).status).toBe(200);
        expect((await countStarts())[busyIndex]).toBeGreaterThan(after[busyIndex]!);
    });

    it("refuses at once, as not run, when no domain is left: new prompts, queued ones, gangs and calls", async () => {
        await start({ decodeTokensPerSecond: 100 });
        await setDomain("a", 0, "evacuated");
        expect((await callService()).body).toMatchObject({ error: { code: "no_endpoint", outcome: "not_run" } });
        const recorded = await requestJson(`${system.hosts[0]!.url}/services/orders/dispatch`, {
            method: "POST",
            headers: { ...callerHeaders, "idempotency-key": "k" },
            body: {},
        });
        expect(recorded.body).toMatchObject({ error: { code: "endpoint_unreachable", outcome: "not_run" } });
        // The gang fits in both domains together only.
        const gang = await complete({ prompt_tokens: PROMPT_LARGER_THAN_AN_ENGINE });
        expect(gang.body).toMatchObject({ error: { code: "no_endpoint", outcome: "not_run" } });
        // More prompts than the engine left has slots, so that some are queued.
        const prompts = Array.from({ length: 40 }, () => complete({ max_tokens: 100 }));
        await vi.waitUntil(() => Object.values(context().queue.countPending()).some(count => count > 0));
        await setDomain("b", 0, "evacuated");
        const results = await Promise.all(prompts);
        const refused = results.filter(({ status }) => status !== 200);
        expect(refused.length).toBeGreaterThan(0);
        expect(results.length - refused.length).toBeGreaterThan(0);
        refused.forEach(({ body }) =>
            expect(body).toMatchObject({ error: { code: "no_endpoint", outcome: "not_run" } })
        );
        expect((await complete()).body).toMatchObject({ error: { code: "no_endpoint", outcome: "not_run" } });
    });

    it.each([
        { name: "waits for memory", grants: false },
        { name: "holds memory in the other domain", grants: true },
    ])("refuses a gang that $name when the domains left can never hold it", async ({ grants }) => {
        await start();
        const { allocations } = context();
        const request = allocations.request.bind(allocations);
        const asked: string[] = [];
        vi.spyOn(allocations, "request").mockImplementation(async demand => {
            asked.push(demand.endpoint);
            if (asked.length === 1) {
                await setDomain("b", 0, "evacuated");
            }
            return grants ? request(demand) : undefined;
        });
        const gang = await complete({ prompt_tokens: PROMPT_LARGER_THAN_AN_ENGINE });
        expect(gang.body).toMatchObject({ error: { code: "no_endpoint", outcome: "not_run" } });
        expect(asked).toEqual(["engine-0"]);
        await vi.waitUntil(() => allocations.countHeld() === 0);
    });

    it("lists the domains, the hosts with the state in force and the findings, also without the platform", async () => {
        await start();
        await setDomain("x", 0, "evacuated");
        const read = async () =>
            (await requestJson(`${system.hosts[0]!.operatorUrl}/admin/domains`, {
                headers: { authorization: `Bearer ${OPERATOR_KEY}` },
            })).body as DomainsAnswer;
        const list = ({ domains }: DomainsAnswer) =>
            domains.map(({ domain, state, ticket, endpoints, hosts }) =>
                [domain, state, ticket, endpoints, ...hosts.map(host => host.inForce)].join(" ")
            );
        const expected = ["a in_service 0 2", "b in_service 0 1", "x evacuated 3 0 true"];
        const online = await read();
        expect([online.source, online.nextTicket, ...list(online)]).toEqual(["platform", 4, ...expected]);
        expect(online.warnings.map(({ path, expected }) => `${path} ${expected}`)).toEqual(["domain/x one of a, b"]);
        await system.platform.close();
        const offline = await read();
        expect([offline.source, offline.nextTicket, ...list(offline)]).toEqual(["host", undefined, ...expected]);
    });
});
