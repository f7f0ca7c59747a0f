/** Polls the reports and cache events of the endpoints that this host watches, and publishes digests. */
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
import { listWatchedEndpoints, type WatchedEndpoint } from "../queries/listWatchedEndpoints.js";

export const REPORT_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 1_000;
/** Failed polls in a row after which an endpoint is published as unreachable. */
const MAX_FAILURES = 3;
/** Interval of the second watcher while the first publishes. With the full rate, polls take half of a host's time. */
const STANDBY_INTERVAL_MS = 5_000;
/** Age of the last digest from which the second watcher polls at the full rate and publishes in place of the first. */
const TAKEOVER_MS = DIGEST_REFRESH_MS + 1_500;
/** Time for which the list of watched endpoints is used. It changes with the members and the configuration. */
const ROLES_MS = 2_000;

interface Watch {
    isPolling: boolean;
    polledAtMs: number;
    failures: number;
    cacheSequence: number;
}

const cacheEventsSchema = z.object({ events: z.array(cacheEventSchema) });

/** Starts watching, until the timers returned are cleared. */
export function startWatching(context: HostContext): NodeJS.Timeout[] {
    const watches = new Map<EndpointId, Watch>();
    let watched: WatchedEndpoint[] = [];
    context.fleet.listeners.add(({ fact }) => {
        if (fact.kind === "endpoint") {
            context.endpointViews.digests.set(fact.endpoint, { digest: fact, receivedAtMs: performance.now() });
        }
    });
    context.configuration.listeners.add(() => {
        watched = listWatchedEndpoints(context);
    });
    const refreshRoles = (): void => {
        watched = listWatchedEndpoints(context);
        dropUnwatched(watches, watched);
    };
    const poll = (): void => watched.forEach(entry => void pollEndpoint(context, entry, getWatch(watches, entry)));
    return [setInterval(refreshRoles, ROLES_MS), setInterval(poll, REPORT_INTERVAL_MS)];
}

function getWatch(watches: Map<EndpointId, Watch>, { endpoint }: WatchedEndpoint): Watch {
    const watch = watches.get(endpoint.name)
        ?? { isPolling: false, failures: 0, cacheSequence: 0, polledAtMs: -Infinity };
    watches.set(endpoint.name, watch);
    return watch;
}

function dropUnwatched(watches: Map<EndpointId, Watch>, watched: readonly WatchedEndpoint[]): void {
    const names = new Set(watched.map(({ endpoint }) => endpoint.name));
    [...watches.keys()].filter(name => !names.has(name)).forEach(name => watches.delete(name));
}

async function pollEndpoint(context: HostContext, { endpoint, rank }: WatchedEndpoint, watch: Watch): Promise<void> {
    if (watch.isPolling || !isPollDue(context, endpoint, rank, watch)) {
        return;
    }
    watch.isPolling = true;
    watch.polledAtMs = performance.now();
    try {
        const startedAtMs = performance.now();
        const report = await fetchReport(endpoint);
        watch.failures = 0;
        publishDigest(context, createDigest(endpoint.name, report, performance.now() - startedAtMs), rank);
        await pollCacheEvents(context, endpoint, watch, report.cache_sequence);
    }
    catch (error) {
        watch.failures += 1;
        if (watch.failures >= MAX_FAILURES) {
            const last = context.endpointViews.digests.get(endpoint.name)?.digest;
            publishDigest(context, createUnreachableDigest(endpoint.name, last), rank);
        }
        if (watch.failures === MAX_FAILURES) {
            context.log.warn({ err: error, endpoint: endpoint.name }, "watching: endpoint gives no reports");
        }
    }
    finally {
        watch.isPolling = false;
    }
}

function isPollDue(context: HostContext, { name }: EndpointObject, rank: number, watch: Watch): boolean {
    const now = performance.now();
    const last = context.endpointViews.digests.get(name);
    const isSilent = last === undefined || now - last.receivedAtMs > TAKEOVER_MS;
    return rank === 0 || isSilent || watch.failures > 0 || now - watch.polledAtMs >= STANDBY_INTERVAL_MS;
}

async function fetchReport(endpoint: EndpointObject): Promise<EngineReport> {
    const response = await requestJson(`${endpoint.url}/v1/report`, { timeoutMs: REPORT_TIMEOUT_MS });
    if (response.status !== 200) {
        throw new VError("%s answered %d to a request for its report", endpoint.name, response.status);
    }
    return engineReportSchema.parse(response.body);
}

/** Publishes a digest that says something new. The second watcher leaves it to the first while that one publishes. */
function publishDigest(context: HostContext, digest: EndpointDigest, rank: number): void {
    const last = context.endpointViews.digests.get(digest.endpoint);
    const elapsedMs = last === undefined ? Infinity : performance.now() - last.receivedAtMs;
    const isState = last === undefined || isStateChange(last.digest, digest);
    const isMine = rank === 0 || isState || elapsedMs > TAKEOVER_MS;
    if (isMine && shouldPublishDigest(last?.digest, digest, elapsedMs)) {
        publishFact(context, digest, { urgent: isState });
    }
}

async function pollCacheEvents(
    context: HostContext,
    endpoint: EndpointObject,
    watch: Watch,
    newest: number,
): Promise<void> {
    const known = watch.cacheSequence;
    // An engine that has restarted begins its events anew.
    const after = known > newest ? 0 : known;
    if (newest <= after) {
        return;
    }
    const url = `${endpoint.url}/v1/cache/events?after=${after}`;
    const response = await requestJson(url, { timeoutMs: REPORT_TIMEOUT_MS });
    const parsed = cacheEventsSchema.safeParse(response.body);
    if (!parsed.success) {
        return;
    }
    const { events } = parsed.data;
    const hasGap = known > newest || (events.length > 0 && events[0]?.sequence !== after + 1);
    watch.cacheSequence = events.at(-1)?.sequence ?? after;
    context.endpointViews.cacheListeners.forEach(listener => listener({ endpoint: endpoint.name, events, hasGap }));
}
