import {
    type Configuration,
    type ConfigurationObject,
    createEndpointView,
    type EndpointObject,
    type ObjectKey,
    type StoredObject,
} from "@currantrill/core";
import {
    toEndpointId,
    toFailureDomainId,
    toPoolId,
    toRevision,
    toTicketNumber,
    toWorkspaceId,
} from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { HostContext } from "../../src/model/hostContext.js";
import { applyBorrowLimit } from "../../src/prompts/queries/applyBorrowLimit.js";

const owner = toWorkspaceId("owner");
const borrower = toWorkspaceId("borrower");
const pool = toPoolId("models");

const endpoint: EndpointObject = {
    kind: "endpoint",
    name: toEndpointId("engine"),
    pool,
    url: "http://127.0.0.1:1",
    failureDomain: toFailureDomainId("a"),
    lending: "lent",
    lendEpoch: 1,
    maxSilenceMs: 1_000,
    graceMs: 1_000,
    checksFencing: true,
    memoryTokens: 1_000,
    slots: 16,
    prefillTokensPerSecond: 1,
    decodeTokensPerSecond: 1,
};

function createConfiguration(maxShare: number): Configuration {
    const bodies: ConfigurationObject[] = [
        { kind: "pool", name: pool, owner, serves: "engine" },
        endpoint,
        { kind: "rule", name: "own", workspace: owner, pools: [pool], maxShare },
        { kind: "rule", name: "lent", workspace: borrower, pools: [pool], maxShare },
    ];
    const objects: Record<ObjectKey, StoredObject> = {};
    for (const body of bodies) {
        objects[`${body.kind}/${body.name}`] = { ticket: toTicketNumber(1), body };
    }
    return { revision: toRevision(1), objects };
}

const view = createEndpointView(endpoint, owner, ["model"]);

interface ContextOptions {
    readonly maxShare: number;
    readonly fraction: number;
    readonly workspace: typeof borrower;
    readonly heldSlots: number;
}

function createContext({ maxShare, fraction, workspace, heldSlots }: ContextOptions): HostContext {
    const attempts = Array.from(
        { length: heldSlots },
        (_unused, index) => [String(index), { workspace, members: [endpoint.name] }] as const,
    );
    return {
        configuration: { current: createConfiguration(maxShare) },
        limits: { getEntitlementFraction: () => fraction },
        endpointStates: { getViews: () => new Map([[endpoint.name, view]]) },
        attempts: new Map(attempts),
    } as unknown as HostContext;
}

describe("applyBorrowLimit guards against a workspace that borrows more of a pool than its rule allows", () => {
    const cases = [
        { name: "below the limit", workspace: borrower, maxShare: 0.5, fraction: 1, heldSlots: 7, isFull: false },
        { name: "at the limit", workspace: borrower, maxShare: 0.5, fraction: 1, heldSlots: 8, isFull: true },
        {
            name: "at this host's share of the limit",
            workspace: borrower,
            maxShare: 0.5,
            fraction: 0.5,
            heldSlots: 4,
            isFull: true,
        },
        {
            name: "one slot is always granted",
            workspace: borrower,
            maxShare: 0.1,
            fraction: 0.1,
            heldSlots: 0,
            isFull: false,
        },
        { name: "no limit", workspace: borrower, maxShare: 1, fraction: 0.1, heldSlots: 16, isFull: false },
        { name: "owner of the pool", workspace: owner, maxShare: 0.1, fraction: 1, heldSlots: 8, isFull: false },
    ];
    it.each(cases)("$name", ({ workspace, maxShare, fraction, heldSlots, isFull }) => {
        const context = createContext({ maxShare, fraction, workspace, heldSlots });
        const [limited] = applyBorrowLimit(context, workspace, [view]);
        expect(limited?.freeSlots).toBe(isFull ? 0 : 16);
    });
});
