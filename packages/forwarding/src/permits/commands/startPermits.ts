/**
 * Permits for requests to endpoints that name a rate limit or are cold. For each endpoint one host grants them: the first
 * coordinator of its failure domain, which all hosts that know of the same peers agree on.
 */
import { type Clocks, readClocks, type ServiceId } from "@currantrill/protocol";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import type { PeerSocket } from "../../peers/commands/openPeerSocket.js";
import type { FleetView } from "../../peers/model/fleetView.js";
import { COLD_CHECK_MS } from "../../warmup/commands/createColdGranting.js";
import { getEffectiveLimit } from "../../warmup/queries/getEffectiveLimit.js";
import { createTokenBucket, estimateWaitMs, type TokenBucket } from "../model/tokenBucket.js";
import { decodePermitQuery, encodePermitAnswer, type PermitNeed } from "../queries/permitCodec.js";
import { createGranting, type GrantingOptions } from "./createGranting.js";
import { createPermitClient } from "./createPermitClient.js";

const MS_PER_SECOND = 1_000;

/** What a request needs permits for. */
export interface PermitRequest {
    readonly endpoints: readonly Endpoint[];
    /**
     * Number of permits of each endpoint that have to be left. A request that needs a permit more than others, such as a
     * long prompt that would delay many short ones elsewhere, leaves none.
     */
    readonly permitsLeft: number;
}

export interface Permits {
    /**
     * Returns whether a request to the endpoint may be granted now, by what this host knows. Always true for an endpoint
     * without a limit.
     */
    readonly hasRoom: (endpoint: Endpoint, permitsLeft: number) => boolean;
    /** Asks for permits for all endpoints with a limit. Resolves with whether all were granted. */
    readonly acquire: (request: PermitRequest) => Promise<boolean>;
    /** Grants permits as the host that does so for the endpoints. Returns `false` if it is another one, or without room. */
    readonly grant: (request: PermitRequest) => boolean;
    /**
     * Returns the time until an endpoint of the service may take a request of this host, in milliseconds, if all of them
     * have no permit or want none; otherwise `undefined`.
     */
    readonly getWaitMs: (service: ServiceId, permitsLeft: number) => number | undefined;
    readonly close: () => void;
}

export interface PermitsOptions extends GrantingOptions {
    readonly socket: PeerSocket;
    readonly fleet: GrantingOptions["fleet"] & Pick<FleetView, "countHosts">;
    readonly metrics: Pick<ForwardingMetrics, "permits">;
}

/** Starts to grant permits to peers. */
export function startPermits(options: PermitsOptions): Permits {
    const { directory, socket, fleet, metrics, address } = options;
    /** What the hosts that grant permits have answered last. */
    const knownLevels = new WeakMap<Endpoint, TokenBucket>();
    const granting = createGranting(options);
    const { findGranter, isGranter, cold } = granting;
    const client = createPermitClient({ socket, fleet, metrics, address, grant: granting.grant, cold });

    const acquireFrom = async (granter: string, limited: readonly LimitedEndpoint[]): Promise<boolean> => {
        const { isGranted, levels } = await client.ask(granter, limited.map(({ need }) => need));
        metrics.permits.inc({ outcome: isGranted ? "granted" : "denied" }, limited.length);
        const nowMs = performance.now();
        for (const [id, level] of levels) {
            const endpoint = directory.get(id);
            if (endpoint !== undefined) {
                knownLevels.set(endpoint, createTokenBucket(nowMs, level));
            }
        }
        return isGranted;
    };
    const getNeedWaitMs = (endpoint: Endpoint, need: PermitNeed): number => {
        const { requestsPerSecond, permitsLeft } = need;
        const mayAsk = !need.isCold || !client.usesColdShares(findGranter(endpoint));
        const level = knownLevels.get(endpoint)?.getLevel(requestsPerSecond, performance.now()) ?? Infinity;
        return (isGranter(endpoint)
            ? granting.getWaitMs(need)
            : mayAsk
            ? estimateWaitMs(level, requestsPerSecond, permitsLeft)
            : undefined) ?? (cold.canTakeShares([need]) ? 0 : MS_PER_SECOND / requestsPerSecond);
    };
    const getEndpointWaitMs = (endpoint: Endpoint, permitsLeft: number): number => {
        const [limited] = listNeeds({ endpoints: [endpoint], permitsLeft });
        return limited === undefined ? 0 : getNeedWaitMs(endpoint, limited.need);
    };

    socket.setHandler("permitQuery", fields => {
        const { from, id, needs } = decodePermitQuery(fields);
        const endpoints = needs.map(({ endpointId }) => directory.get(endpointId));
        const isOwn = endpoints.every(endpoint => endpoint !== undefined && isGranter(endpoint));
        const now = readClocks();
        const currentNeeds = needs.map((need, index) => mergeNeed(need, endpoints[index], now));
        socket.send(encodePermitAnswer(id, isOwn ? granting.grant(currentNeeds) : undefined), [from]);
    });
    cold.check();
    const checkTimer = setInterval(cold.check, COLD_CHECK_MS);
    return {
        hasRoom: (endpoint, permitsLeft) => getEndpointWaitMs(endpoint, permitsLeft) === 0,
        acquire: async request => {
            const limited = listNeeds(request);
            const granters = [...new Set(limited.map(({ endpoint }) => findGranter(endpoint)))];
            const results = await Promise.all(
                granters.map(granter =>
                    acquireFrom(granter, limited.filter(({ endpoint }) => findGranter(endpoint) === granter))
                ),
            );
            return results.every(Boolean);
        },
        grant: request => {
            const limited = listNeeds(request);
            return limited.every(({ endpoint }) => isGranter(endpoint))
                && granting.grant(limited.map(({ need }) => need))?.isGranted === true;
        },
        getWaitMs: (service, permitsLeft) => {
            const now = readClocks();
            const waitsMs = directory.listReady(service).map(endpoint =>
                Math.max(getEndpointWaitMs(endpoint, permitsLeft), endpoint.notices.getPauseMs(now))
            );
            return waitsMs.length > 0 && waitsMs.every(waitMs => waitMs > 0) ? Math.min(...waitsMs) : undefined;
        },
        close: () => clearInterval(checkTimer),
    };
}

/** An endpoint with a limit, and the permit that is needed for it. */
interface LimitedEndpoint {
    readonly endpoint: Endpoint;
    readonly need: PermitNeed;
}

function listNeeds({ endpoints, permitsLeft }: PermitRequest): readonly LimitedEndpoint[] {
    const now = readClocks();
    return endpoints.flatMap(endpoint => {
        const limit = getEffectiveLimit(endpoint, now);
        if (limit === undefined) {
            return [];
        }
        // The bucket of a cold endpoint is too small to leave a permit.
        const need = { endpointId: endpoint.entry.id, ...limit, permitsLeft: limit.isCold ? 0 : permitsLeft };
        return [{ endpoint, need }];
    });
}

/** Merges a need with what this host knows. If either of the two holds the endpoint for cold, the lower rate counts. */
function mergeNeed(need: PermitNeed, endpoint: Endpoint | undefined, now: Clocks): PermitNeed {
    const known = endpoint === undefined ? undefined : getEffectiveLimit(endpoint, now);
    if (known === undefined) {
        return need;
    }
    const isCold = need.isCold || known.isCold;
    const requestsPerSecond = isCold
        ? Math.min(need.requestsPerSecond, known.requestsPerSecond)
        : known.requestsPerSecond;
    return { ...need, requestsPerSecond, isCold, permitsLeft: isCold ? 0 : need.permitsLeft };
}
