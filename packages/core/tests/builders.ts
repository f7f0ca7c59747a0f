/** Configuration objects for tests, with defaults for the properties that a test does not set. */
import { toEndpointId, toFailureDomainId, toPoolId, toWorkspaceId } from "@currantrill/protocol";
import type { EndpointObject, PoolObject, WorkspaceObject } from "../src/index.js";

export const buildWorkspace = (name: string): WorkspaceObject => ({
    kind: "workspace",
    name: toWorkspaceId(name),
    keySha256: "0".repeat(64),
    tokensPerSecond: 1_000,
    burstTokens: 1_000,
    maxConcurrent: 10,
    weight: 1,
});

export const buildPool = (name: string, owner: string): PoolObject => ({
    kind: "pool",
    name: toPoolId(name),
    owner: toWorkspaceId(owner),
    serves: "engine",
});

export const buildEndpoint = (name: string, overrides: Partial<EndpointObject> = {}): EndpointObject => ({
    kind: "endpoint",
    name: toEndpointId(name),
    pool: toPoolId("models"),
    url: "http://127.0.0.1:1",
    failureDomain: toFailureDomainId("a"),
    lending: "lent",
    lendEpoch: 1,
    maxSilenceMs: 60_000,
    graceMs: 3_000,
    checksFencing: true,
    memoryTokens: 1_000,
    slots: 4,
    prefillTokensPerSecond: 1_000,
    decodeTokensPerSecond: 50,
    ...overrides,
});
