/** What this host believes about each endpoint, in step with the configuration in force. */
import {
    applyCacheEvents,
    applyDigest,
    type Configuration,
    createEndpointView,
    emptyPrefixIndex,
    type EndpointView,
    listObjects,
    type PrefixIndex,
    recordPrefix,
    setReachable,
    updateDescription,
} from "@currantrill/core";
import { type CacheEvent, type EndpointDigest, type EndpointId, getPrefixTokens } from "@currantrill/protocol";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";

export interface EndpointBeliefs {
    /** Views of the configured endpoints. */
    getAll(): ReadonlyMap<EndpointId, EndpointView>;
    /** Changes a view; an endpoint that is no longer configured is ignored. */
    update(endpoint: EndpointId, change: (view: EndpointView) => EndpointView): void;
    /**
     * Applies a report, which this host polled or a watcher sent. Models may be named with their versions. `nowMs` is on
     * the monotonic clock.
     */
    applyDigest(digest: EndpointDigest, nowMs: number): void;
    /** Last digest of an endpoint, for the owner's wish. */
    getDigest(endpoint: EndpointId): EndpointDigest | undefined;
    /** Which endpoint is believed to hold which prompt prefix. */
    getPrefixes(): PrefixIndex;
    applyCacheEvents(endpoint: EndpointId, events: readonly CacheEvent[]): void;
    /** Records that a prompt of this host has put its prefixes into the cache of an endpoint. */
    recordPrefixes(endpoint: EndpointId, prefixHashes: readonly string[]): void;
    /** URL of an endpoint, also of one that was configured before. */
    getUrl(endpoint: EndpointId): string;
}

/** Creates the views. They follow the configuration that `getConfiguration` returns. */
export function createEndpointBeliefs(getConfiguration: () => Configuration): EndpointBeliefs {
    let configuration: Configuration | undefined;
    let views = new Map<EndpointId, EndpointView>();
    let prefixes = emptyPrefixIndex;
    const urls = new Map<EndpointId, string>();
    const digests = new Map<EndpointId, EndpointDigest>();

    const getAll = (): Map<EndpointId, EndpointView> => {
        const current = getConfiguration();
        if (current !== configuration) {
            views = buildViews(current, views);
            getConfigurationIndex(current).endpoints.forEach(entry => urls.set(entry.name, entry.url));
            configuration = current;
        }
        return views;
    };

    return {
        getAll,
        update: (endpoint, change) => {
            const view = getAll().get(endpoint);
            if (view !== undefined) {
                views.set(endpoint, change(view));
            }
        },
        applyDigest: (digest, nowMs) => {
            const view = getAll().get(digest.endpoint);
            if (view === undefined) {
                return;
            }
            digests.set(digest.endpoint, digest);
            const models = digest.models.map(model => model.split("@")[0] ?? model);
            // The digest of an endpoint that gives no reports has no load of its own.
            views.set(
                digest.endpoint,
                digest.reachable ? applyDigest(view, { ...digest, models }, nowMs) : setReachable(view, false),
            );
        },
        getDigest: endpoint => digests.get(endpoint),
        getPrefixes: () => prefixes,
        applyCacheEvents: (endpoint, events) => {
            prefixes = applyCacheEvents(prefixes, endpoint, events, performance.now()).index;
        },
        recordPrefixes: (endpoint, prefixHashes) => {
            const seenAtMs = performance.now();
            prefixHashes.forEach((hash, index) => {
                prefixes = recordPrefix(prefixes, hash, { endpoint, tokens: getPrefixTokens(index), seenAtMs });
            });
        },
        getUrl: endpoint => {
            getAll();
            return urls.get(endpoint) ?? "";
        },
    };
}

/** Builds the views of a new configuration and keeps what is known about endpoints that stay. */
function buildViews(
    configuration: Configuration,
    known: ReadonlyMap<EndpointId, EndpointView>,
): Map<EndpointId, EndpointView> {
    const { endpoints, pools } = getConfigurationIndex(configuration);
    const configured = listObjects(configuration, "model");
    const views = new Map<EndpointId, EndpointView>();
    for (const endpoint of endpoints) {
        const pool = pools.get(endpoint.pool);
        if (pool === undefined) {
            continue;
        }
        // Before the first report the endpoint is assumed to hold the models of its pool; if not, it refuses.
        const declared = configured.filter(model => model.pools.includes(endpoint.pool)).map(model => model.name);
        const fresh = createEndpointView(endpoint, pool.owner, declared);
        const old = known.get(endpoint.name);
        views.set(endpoint.name, old === undefined ? fresh : updateDescription(old, fresh));
    }
    return views;
}
