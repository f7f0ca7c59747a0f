/** Configuration and tickets of the cluster scenarios. */
import { type Configuration, type EndpointObject, findObject, type Ticket } from "@currantrill/core";
import {
    toEndpointId,
    toFailureDomainId,
    toPoolId,
    toRevision,
    toTicketNumber,
    toWorkspaceId,
} from "@currantrill/protocol";
import type { ScheduledTicket } from "./clusterSchedule.js";

/** The endpoint that tickets, stops and withdrawals apply to. */
export const RECLAIMABLE_ENDPOINT = toEndpointId("e1");
/** Never reclaimed, so that the history shows whether hosts keep using endpoints during a partition. */
export const ALWAYS_LENT_ENDPOINT = toEndpointId("e2");
/** How long a host may use an endpoint without a confirmation of the configuration. */
export const MAX_SILENCE_MS = 10_000;
export const endpoints = [RECLAIMABLE_ENDPOINT, ALWAYS_LENT_ENDPOINT] as const;

const buildEndpoint = (name: EndpointObject["name"]): EndpointObject => ({
    kind: "endpoint",
    name,
    pool: toPoolId("p"),
    url: `http://${name}.invalid`,
    failureDomain: toFailureDomainId("a"),
    lending: "lent",
    lendEpoch: 1,
    maxSilenceMs: MAX_SILENCE_MS,
    graceMs: 3_000,
    checksFencing: false,
    memoryTokens: 1_000,
    slots: 4,
    prefillTokensPerSecond: 1_000,
    decodeTokensPerSecond: 50,
});

const workspace = (weight: number) => ({
    kind: "workspace" as const,
    name: toWorkspaceId("w"),
    keySha256: "0".repeat(64),
    tokensPerSecond: 100,
    burstTokens: 100,
    maxConcurrent: 4,
    weight,
});

const FIRST_TICKET = toTicketNumber(1);

/** Stored in the platform before the run begins. */
export const firstConfiguration: Configuration = {
    revision: toRevision(1),
    objects: {
        "workspace/w": { ticket: FIRST_TICKET, body: workspace(1) },
        "pool/p": {
            ticket: FIRST_TICKET,
            body: { kind: "pool", name: toPoolId("p"), owner: toWorkspaceId("w"), serves: "engine" },
        },
        "endpoint/e1": { ticket: FIRST_TICKET, body: buildEndpoint(RECLAIMABLE_ENDPOINT) },
        "endpoint/e2": { ticket: FIRST_TICKET, body: buildEndpoint(ALWAYS_LENT_ENDPOINT) },
    },
};

/** Builds the ticket that an operator would write on the basis of the given configuration. */
export function buildTicket(configuration: Configuration, { number, action }: ScheduledTicket): Ticket {
    const endpoint = findObject(configuration, "endpoint", RECLAIMABLE_ENDPOINT) ?? buildEndpoint(RECLAIMABLE_ENDPOINT);
    const bodies = {
        reclaim: { ...endpoint, lending: "reclaimed" as const },
        lend: { ...endpoint, lending: "lent" as const, lendEpoch: endpoint.lendEpoch + 1 },
        workspace: workspace(number),
    };
    const body = bodies[action];
    const replaces = configuration.objects[`${body.kind}/${body.name}`]?.ticket ?? toTicketNumber(0);
    return { number: toTicketNumber(number), summary: action, objects: [{ replaces, body }], removals: [] };
}
