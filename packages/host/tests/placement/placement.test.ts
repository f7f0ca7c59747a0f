import { requestJson } from "@currantrill/http";
import type { EngineReport, Ledger } from "@currantrill/protocol";
import { type RunningStandin, serveEngine } from "@currantrill/standins";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { updatePlacement } from "../../src/placement/commands/startPlacement.js";
import { createPlacementState } from "../../src/placement/model/placementState.js";
import { OPERATOR_KEY, startFleet, type TestFleet, waitUntil } from "../startFleet.js";

describe("placement", () => {
    let fleet: TestFleet;
    let engine: RunningStandin;
    beforeAll(async () => {
        fleet = await startFleet({ a: 2 });
        engine = await serveEngine({ endpointId: "e1", checksFencing: false });
        const text = `ticket = 1
            summary = "one engine"
            workspaces = [{ name = "desk", replaces = 0, key_sha256 = "${"0".repeat(64)}",
                tokens_per_second = 1, burst_tokens = 1, max_concurrent = 1 }]
            pools = [{ name = "p", replaces = 0, owner = "desk", serves = "engine" }]
            endpoints = [{ name = "e1", replaces = 0, pool = "p", url = "http://127.0.0.1:${engine.port}",
                failure_domain = "a", checks_fencing = false }]
            models = [{ name = "m", replaces = 0, version = "2", pools = ["p"], replicas = 1, adapters = ["x"],
                max_prompt_tokens = 1000 }]`;
        const address = fleet.hosts[0]!.context.settings.listen.operators;
        const { status } = await requestJson(`http://${address}/admin/tickets`, {
            method: "POST",
            headers: { authorization: `Bearer ${OPERATOR_KEY}` },
            body: { text },
        });
        expect(status).toBe(200);
    });
    afterAll(async () => {
        await fleet.stop();
        await engine.close();
    });

    const read = async <T>(path: string): Promise<T> =>
        (await requestJson(`http://127.0.0.1:${engine.port}${path}`)).body as T;

    /** Runs rounds of placement on both hosts until the engine reports exactly the given models. */
    const runUntil = async (models: readonly string[]): Promise<void> => {
        const states = fleet.hosts.map(() => createPlacementState({ loadsPerSecond: 1_000, domains: 1 }));
        let loaded: readonly string[] = [];
        const timer = setInterval(() => {
            fleet.hosts.forEach(({ context }, index) => updatePlacement(context, states[index]!));
            void read<EngineReport>("/v1/report").then(report => {
                loaded = report.models.map(model => `${model.name}@${model.version}`).sort();
            });
        }, 100);
        await waitUntil(`models ${models.join()}`, () => loaded.join() === models.join()).finally(() =>
            clearInterval(timer)
        );
    };

    it("loads the declared model and adapter under the fencing token of the lease", async () => {
        await runUntil(["m/x@2", "m@2"]);
        const { entries } = await read<Ledger>("/ledger");
        const orders = entries.filter(entry => entry.outcome === "accepted");
        expect(orders.every(entry => entry.action.includes("fence 1"))).toBe(true);
        expect(orders[0]?.action).toContain("load_model m@2");
    });

    it("unloads a model that a stale order has loaded on an engine that ignores fencing", async () => {
        await requestJson(`http://127.0.0.1:${engine.port}/v1/orders`, {
            method: "POST",
            body: { fence: 0, action: "load_model", model: "m", version: "1" },
        });
        await waitUntil(
            "digest of the stale version",
            () =>
                fleet.hosts.every(({ context }) =>
                    [...context.endpointMonitor.digests.values()].some(({ digest }) => digest.models.includes("m@1"))
                ),
        );
        await runUntil(["m/x@2", "m@2"]);
    });
});
