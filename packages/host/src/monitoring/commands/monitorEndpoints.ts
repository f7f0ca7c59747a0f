/** Polls the load reports and cache events of the endpoints that this host monitors, and publishes load digests. */
import { DIGEST_REFRESH_MS, type EndpointObject, isStateChange, shouldPublishDigest } from "@currantrill/core";
import { requestJson } from "@currantrill/http";
import {
    cacheEventSchema,
    type EndpointDigest,
    type EndpointId,
    type EngineReport,
    engineReportSchema,
} from "@currantrill/protocol";
import VError from "verror";
import { z } from "zod";
import type { HostContext } from "../../model/hostContext.js";
import { publishFact } from "../../peers/commands/publishFact.js";
import { createDigest, createUnreachableDigest } from "../queries/createDigest.js";
import { listMonitoredEndpoints, type MonitoredEndpoint } from "../queries/listMonitoredEndpoints.js";

/** Poll interval of the first monitor of an endpoint. */
export const REPORT_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 1_000;
/** Consecutive failed polls after which an endpoint is published as unreachable. */
const MAX_FAILURES = 3;
/**
 * Poll interval of the second monitor while the first one publishes. At the full rate, polls took half of a host's
 * time.
 */
const STANDBY_INTERVAL_MS = 5_000;
/**
 * Age of the last digest from which the second monitor polls at the full rate and publishes instead of the first one.
 */
const TAKEOVER_AGE_MS = DIGEST_REFRESH_MS + 1_500;
/** Refresh interval of the list of monitored endpoints, which changes with the membership and the configuration. */
const ROLE_REFRESH_INTERVAL_MS = 2_000;

interface PollState {
    isPolling: boolean;
    /** Monotonic time at which the last poll began. */
    polledAtMs: number;
    /** Consecutive failed polls. */
    failures: number;
    /** Sequence number of the last cache event received. */
    cacheSequence: number;
}

const cacheEventsSchema = z.object({ events: z.array(cacheEventSchema) });

/** Starts to monitor endpoints, until the returned timers are cleared. */
export function startMonitoring(context: HostContext): NodeJS.Timeout[] {
    const pollStates = new Map<EndpointId, PollState>();
    let monitored: MonitoredEndpoint[] = [];
    context.fleet.factListeners.add(({ fact }) => {
        if (fact.kind === "endpoint") {
            context.endpointMonitor.digests.set(fact.endpoint, { digest: fact, receivedAtMs: performance.now() });
        }
    });
    context.configuration.listeners.add(() => {
        monitored = listMonitoredEndpoints(context);
    });
    const refreshRoles = (): void => {
        monitored = listMonitoredEndpoints(context);
        dropUnmonitored(pollStates, monitored);
    };
    const poll = (): void =>
        monitored.forEach(entry => void pollEndpoint(context, entry, getPollState(pollStates, entry)));
    return [setInterval(refreshRoles, ROLE_REFRESH_INTERVAL_MS), setInterval(poll, REPORT_INTERVAL_MS)];
}

function getPollState(pollStates: Map<EndpointId, PollState>, { endpoint }: MonitoredEndpoint): PollState {
    const pollState = pollStates.get(endpoint.name)
        ?? { isPolling: false, failures: 0, cacheSequence: 0, polledAtMs: -Infinity };
    pollStates.set(endpoint.name, pollState);
    return pollState;
}

function dropUnmonitored(pollStates: Map<EndpointId, PollState>, monitored: readonly MonitoredEndpoint[]): void {
    const names = new Set(monitored.map(({ endpoint }) => endpoint.name));
    [...pollStates.keys()].filter(name => !names.has(name)).forEach(name => pollStates.delete(name));
}

async function pollEndpoint(
    context: HostContext,
    { endpoint, rank }: MonitoredEndpoint,
    pollState: PollState,
): Promise<void> {
    if (pollState.isPolling || !isPollDue(context, endpoint, rank, pollState)) {
        return;
    }
    pollState.isPolling = true;
    pollState.polledAtMs = performance.now();
    try {
        const startedAtMs = performance.now();
        const report = await fetchReport(endpoint);
        pollState.failures = 0;
        publishDigest(context, createDigest(endpoint.name, report, performance.now() - startedAtMs), rank);
        await pollCacheEvents(context, endpoint, pollState, report.cache_sequence);
    }
    catch (error) {
        pollState.failures += 1;
        if (pollState.failures >= MAX_FAILURES) {
            const last = context.endpointMonitor.digests.get(endpoint.name)?.digest;
            publishDigest(context, createUnreachableDigest(endpoint.name, last), rank);
        }
        if (pollState.failures === MAX_FAILURES) {
            context.log.warn(
                { err: error, endpoint: endpoint.name },
                "watching: endpoint unreachable, report polls failed",
            );
        }
    }
    finally {
        pollState.isPolling = false;
    }
}

/**
 * Whether this host polls now. The first monitor polls at every call, the second one every `STANDBY_INTERVAL_MS` while
 * digests arrive and its own polls succeed.
 */
function isPollDue(context: HostContext, { name }: EndpointObject, rank: number, pollState: PollState): boolean {
    const now = performance.now();
    const last = context.endpointMonitor.digests.get(name);
    const isStale = last === undefined || now - last.receivedAtMs > TAKEOVER_AGE_MS;
    return rank === 0 || isStale || pollState.failures > 0 || now - pollState.polledAtMs >= STANDBY_INTERVAL_MS;
}

async function fetchReport(endpoint: EndpointObject): Promise<EngineReport> {
    const response = await requestJson(`${endpoint.url}/v1/report`, { timeoutMs: REPORT_TIMEOUT_MS });
    if (response.status !== 200) {
        throw new VError("endpoint %s answered the report request with status %d", endpoint.name, response.status);
    }
    return engineReportSchema.parse(response.body);
}

/**
 * Publishes a digest that differs enough from the last one or is due for a refresh. The second monitor publishes only
 * changes of state, such as becoming unreachable, while the first monitor publishes.
 */
function publishDigest(context: HostContext, digest: EndpointDigest, rank: number): void {
    const last = context.endpointMonitor.digests.get(digest.endpoint);
    const elapsedMs = last === undefined ? Infinity : performance.now() - last.receivedAtMs;
    const isStateChanged = last === undefined || isStateChange(last.digest, digest);
    const isPublisher = rank === 0 || isStateChanged || elapsedMs > TAKEOVER_AGE_MS;
    if (isPublisher && shouldPublishDigest(last?.digest, digest, elapsedMs)) {
        publishFact(context, digest, { urgent: isStateChanged });
    }
}

/** Fetches the cache events that are newer than the last one received, and calls the listeners with them. */
async function pollCacheEvents(
    context: HostContext,
    endpoint: EndpointObject,
    pollState: PollState,
    newestSequence: number,
): Promise<void> {
    const lastReceived = pollState.cacheSequence;
    // A restarted engine numbers its events from the beginning.
    const after = lastReceived > newestSequence ? 0 : lastReceived;
    if (newestSequence <= after) {
        return;
    }
    const url = `${endpoint.url}/v1/cache/events?after=${after}`;
    const response = await requestJson(url, { timeoutMs: REPORT_TIMEOUT_MS });
    const parsed = cacheEventsSchema.safeParse(response.body);
    if (!parsed.success) {
        return;
    }
    const { events } = parsed.data;
    const hasGap = lastReceived > newestSequence || (events.length > 0 && events[0]?.sequence !== after + 1);
    pollState.cacheSequence = events.at(-1)?.sequence ?? after;
    context.endpointMonitor.cacheListeners.forEach(listener => listener({ endpoint: endpoint.name, events, hasGap }));
}
