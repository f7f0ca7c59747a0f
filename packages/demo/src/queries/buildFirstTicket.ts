/** Builds the first ticket of a demo system: two pools, two workspaces, one model, one service. */
import { createHash } from "node:crypto";
import type { ProcessPlan } from "../model/runningSystem.js";
import { DEMO_MODEL, DEMO_WORKSPACES, type SystemSettings, type TomlFields } from "../model/systemOptions.js";

/** Pool of the engines. */
export const MODEL_POOL = "models";
/** Pool of the service endpoints. */
export const SERVICE_POOL = "order-servers";
const MAX_PROMPT_TOKENS = 1_048_576;

/** Builds the ticket as a TOML document, with an endpoint for each engine and service stand-in. */
export function buildFirstTicket(settings: SystemSettings, standins: readonly ProcessPlan[]): TomlFields {
    const engines = standins.filter(plan => plan.role === "engine");
    const services = standins.filter(plan => plan.role === "service");
    return {
        ticket: 1,
        summary: "Demo: two pools, two workspaces, one model, one service",
        pools: [
            { name: MODEL_POOL, replaces: 0, owner: "desk", serves: "engine" },
            { name: SERVICE_POOL, replaces: 0, owner: "desk", serves: "service" },
        ],
        endpoints: [
            ...engines.map(plan => buildEngineEndpoint(settings, plan)),
            ...services.map(plan => ({
                name: plan.name,
                replaces: 0,
                pool: SERVICE_POOL,
                url: `http://${plan.address}`,
                failure_domain: plan.failureDomain,
            })),
        ],
        workspaces: DEMO_WORKSPACES.map(({ name, key }) => ({
            name,
            replaces: 0,
            key_sha256: createHash("sha256").update(key).digest("hex"),
            tokens_per_second: 5_000_000,
            burst_tokens: 10_000_000,
            max_concurrent: 200,
        })),
        rules: DEMO_WORKSPACES.map(({ name }) => ({
            name,
            replaces: 0,
            workspace: name,
            pools: [MODEL_POOL, SERVICE_POOL],
        })),
        models: [{
            name: DEMO_MODEL,
            replaces: 0,
            version: "1",
            pools: [MODEL_POOL],
            replicas: engines.length,
            max_prompt_tokens: MAX_PROMPT_TOKENS,
        }],
        services: [{
            name: "orders",
            replaces: 0,
            pool: SERVICE_POOL,
            operations: [
                { method: "GET", path: "/", idempotent: true },
                { method: "POST", path: "/dispatch", idempotent: false },
            ],
        }],
    };
}

/** Builds the endpoint of an engine for a ticket. */
export const buildEngineEndpoint = (settings: SystemSettings, plan: ProcessPlan): TomlFields => ({
    name: plan.name,
    replaces: 0,
    pool: MODEL_POOL,
    url: `http://${plan.address}`,
    failure_domain: plan.failureDomain,
    memory_tokens: settings.engineMemoryTokens,
    slots: settings.engineSlots,
    prefill_tokens_per_second: settings.prefillTokensPerSecond,
    decode_tokens_per_second: settings.decodeTokensPerSecond,
    ...settings.endpointFields,
});
