/** State of each endpoint as known to this host: load, health and cached prompt prefixes. */
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
    updateViewConfiguration,
} from "@currantrill/core";
import { type CacheEvent, type EndpointDigest, type EndpointId, getPrefixTokens } from "@currantrill/protocol";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";

/**
 * Endpoint state as known to this host, from load digests and from its own attempts. It can be out of date: the engine
 * itself decides whether it accepts a request.
 */
export interface EndpointStateTable {
    /** Returns the views of the configured endpoints, which follow the active configuration. */
    getViews(): ReadonlyMap<EndpointId, EndpointView>;
    /** Replaces the view of an endpoint. Does nothing if the endpoint is no longer configured. */
    update(endpoint: EndpointId, change: (view: EndpointView) => EndpointView): void;
    /**
     * Applies a load digest, which this host polled or a monitoring host sent. Its models may be named with versions,
     * as in `model@version`. `nowMs` is on the monotonic clock.
     */
    applyDigest(digest: EndpointDigest, nowMs: number): void;
    /** Returns the latest load digest of an endpoint, which carries the lending state that its owner reported. */
    getDigest(endpoint: EndpointId): EndpointDigest | undefined;
    /** Returns the index of the prompt prefixes that endpoints are expected to have in their KV caches. */
    getPrefixIndex(): PrefixIndex;
    /** Updates the prefix index with cache events that the endpoint reported. */
    applyCacheEvents(endpoint: EndpointId, events: readonly CacheEvent[]): void;
    /** Records that a prompt from this host has put its prefixes into the KV cache of an endpoint. */
    recordPrefixes(endpoint: EndpointId, prefixHashes: readonly string[]): void;
    /** Returns the URL of an endpoint, also of one that is no longer configured; `""` if it never was. */
    getUrl(endpoint: EndpointId): string;
}

/** Creates the endpoint state. Its views are rebuilt when `getConfiguration` returns another configuration. */
export function createEndpointStateTable(getConfiguration: () => Configuration): EndpointStateTable {
    let configuration: Configuration | undefined;
    let views = new Map<EndpointId, EndpointView>();
    let prefixes = emptyPrefixIndex;
    const urls = new Map<EndpointId, string>();
    const digests = new Map<EndpointId, EndpointDigest>();

    const refreshViews = (): Map<EndpointId, EndpointView> => {
        const current = getConfiguration();
        if (current !== configuration) {
            views = buildViews(current, views);
            getConfigurationIndex(current).endpoints.forEach(entry => urls.set(entry.name, entry.url));
            configuration = current;
        }
        return views;
    };

    return {
        getViews: refreshViews,
        update: (endpoint, change) => {
            const view = refreshViews().get(endpoint);
            if (view !== undefined) {
                views.set(endpoint, change(view));
            }
        },
        applyDigest: (digest, nowMs) => {
            const view = refreshViews().get(digest.endpoint);
            if (view === undefined) {
                return;
            }
            digests.set(digest.endpoint, digest);
            const models = digest.models.map(model => model.split("@")[0] ?? model);
            // The digest of an unreachable endpoint carries no load figures to apply.
            views.set(
                digest.endpoint,
                digest.reachable ? applyDigest(view, { ...digest, models }, nowMs) : setReachable(view, false),
            );
        },
        getDigest: endpoint => digests.get(endpoint),
        getPrefixIndex: () => prefixes,
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
            refreshViews();
            return urls.get(endpoint) ?? "";
        },
    };
}

/** Builds the views of a new configuration and carries over the state of endpoints that remain configured. */
function buildViews(
    configuration: Configuration,
    previousViews: ReadonlyMap<EndpointId, EndpointView>,
): Map<EndpointId, EndpointView> {
    const { endpoints, pools } = getConfigurationIndex(configuration);
    const allModels = listObjects(configuration, "model");
    const views = new Map<EndpointId, EndpointView>();
    for (const endpoint of endpoints) {
        const pool = pools.get(endpoint.pool);
        if (pool === undefined) {
            continue;
        }
        // Until the first load report, the endpoint is assumed to serve the models of its pool. It refuses
        // requests for a model that it does not serve.
        const modelNames = allModels.filter(model => model.pools.includes(endpoint.pool)).map(model => model.name);
        const initialView = createEndpointView(endpoint, pool.owner, modelNames);
        const previousView = previousViews.get(endpoint.name);
        views.set(
            endpoint.name,
            previousView === undefined ? initialView : updateViewConfiguration(previousView, initialView),
        );
    }
    return views;
}
