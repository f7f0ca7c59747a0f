/**
 * Permits for requests to endpoints that name a rate limit. For each endpoint one host grants them: the first
 * coordinator of its failure domain, which all hosts that know of the same peers agree on.
 */
import { type FailureDomainId, readClocks, type ServiceId } from "@currantrill/protocol";
import type { Endpoint, EndpointDirectory } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import type { PeerSocket } from "../../peers/commands/openPeerSocket.js";
import type { FleetView } from "../../peers/model/fleetView.js";
import { createPermitLedger } from "../model/permitLedger.js";
import { createTokenBucket, estimateWaitMs, type TokenBucket } from "../model/tokenBucket.js";
import { decodePermitQuery, encodePermitAnswer, type PermitNeed } from "../queries/permitCodec.js";
import { createPermitClient } from "./createPermitClient.js";

/** Validity of the known host that grants permits: ranking the hosts of a domain takes a time that grows with it. */
const GRANTER_VALID_MS = 50;

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
}

export interface PermitsOptions {
    readonly directory: EndpointDirectory;
    readonly socket: PeerSocket;
    readonly fleet: FleetView;
    readonly metrics: Pick<ForwardingMetrics, "permits">;
    /** Address of this host. */
    readonly address: string;
}

/** Starts to grant permits to peers. */
export function startPermits({ directory, socket, fleet, metrics, address }: PermitsOptions): Permits {
    const ledger = createPermitLedger();
    /** What the hosts that grant permits have answered last. */
    const knownLevels = new WeakMap<Endpoint, TokenBucket>();

    const listNeeds = ({ endpoints, permitsLeft }: PermitRequest): readonly LimitedEndpoint[] => {
        const now = readClocks();
        return endpoints.flatMap(endpoint => {
            const requestsPerSecond = endpoint.notices.getRateLimit(now);
            return requestsPerSecond === undefined
                ? []
                : [{ endpoint, need: { endpointId: endpoint.entry.id, requestsPerSecond, permitsLeft } }];
        });
    };
    const findGranter = createGranterFinder(fleet, address, directory.localFailureDomain);
    const isGranter = (endpoint: Endpoint): boolean => findGranter(endpoint) === address;
    const askGranter = createPermitClient({ socket, fleet, metrics, address, ledger });
    const acquireFrom = async (granter: string, limited: readonly LimitedEndpoint[]): Promise<boolean> => {
        const { isGranted, levels } = await askGranter(granter, limited.map(({ need }) => need));
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
    const getEndpointWaitMs = (endpoint: Endpoint, permitsLeft: number): number => {
        const [limited] = listNeeds({ endpoints: [endpoint], permitsLeft });
        if (limited === undefined) {
            return 0;
        }
        const nowMs = performance.now();
        const { need, need: { requestsPerSecond } } = limited;
        const level = isGranter(endpoint)
            ? ledger.getLevel(need, nowMs)
            : knownLevels.get(endpoint)?.getLevel(requestsPerSecond, nowMs) ?? Infinity;
        return estimateWaitMs(level, requestsPerSecond, permitsLeft);
    };

    socket.setHandler("permitQuery", fields => {
        const { from, id, needs } = decodePermitQuery(fields);
        const endpoints = needs.map(({ endpointId }) => directory.get(endpointId));
        const isOwn = endpoints.every(endpoint => endpoint !== undefined && isGranter(endpoint));
        const now = readClocks();
        const currentNeeds = needs.map((need, index) => ({
            ...need,
            requestsPerSecond: endpoints[index]?.notices.getRateLimit(now) ?? need.requestsPerSecond,
        }));
        const answer = isOwn ? ledger.grant(currentNeeds, performance.now()) : undefined;
        socket.send(encodePermitAnswer(id, answer), [from]);
    });
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
                && ledger.grant(limited.map(({ need }) => need), performance.now()).isGranted;
        },
        getWaitMs: (service, permitsLeft) => {
            const now = readClocks();
            const waitsMs = directory.listReady(service).map(endpoint =>
                Math.max(getEndpointWaitMs(endpoint, permitsLeft), endpoint.notices.getPauseMs(now))
            );
            return waitsMs.length > 0 && waitsMs.every(waitMs => waitMs > 0) ? Math.min(...waitsMs) : undefined;
        },
    };
}

/** An endpoint with a limit, and the permit that is needed for it. */
interface LimitedEndpoint {
    readonly endpoint: Endpoint;
    readonly need: PermitNeed;
}

/** Creates the function that finds the host which grants the permits of an endpoint. Its results are kept for a time. */
function createGranterFinder(
    fleet: FleetView,
    address: string,
    localDomain: FailureDomainId,
): (endpoint: Endpoint) => string {
    const granters = new Map<FailureDomainId, { readonly granter: string; readonly untilMs: number; }>();
    return ({ entry: { failureDomain } }) => {
        const nowMs = performance.now();
        const known = granters.get(failureDomain);
        if (known !== undefined && known.untilMs > nowMs) {
            return known.granter;
        }
        // For a domain without a live host, the coordinator with the lowest address grants them.
        const others = [...fleet.listRemoteCoordinators(), ...fleet.listCoordinators(localDomain)];
        const granter = fleet.listCoordinators(failureDomain)[0] ?? others.sort()[0] ?? address;
        granters.set(failureDomain, { granter, untilMs: nowMs + GRANTER_VALID_MS });
        return granter;
    };
}
