/** Index of a configuration for the look-ups of every request, which would otherwise scan all objects. */
import {
    type Configuration,
    type EndpointObject,
    listEvacuatedDomains,
    listObjects,
    type PoolObject,
    type RuleObject,
    type WorkspaceObject,
} from "@currantrill/core";
import type { FailureDomainId, PoolId, WorkspaceId } from "@currantrill/protocol";

/** Objects of a configuration by the keys that requests look them up with. */
export interface ConfigurationIndex {
    /** By the SHA-256 hash of the API key. */
    readonly workspacesByKey: ReadonlyMap<string, WorkspaceObject>;
    readonly rulesByWorkspace: ReadonlyMap<WorkspaceId, readonly RuleObject[]>;
    readonly endpointsByPool: ReadonlyMap<PoolId, readonly EndpointObject[]>;
    readonly endpoints: readonly EndpointObject[];
    readonly evacuatedDomains: ReadonlySet<FailureDomainId>;
    readonly pools: ReadonlyMap<PoolId, PoolObject>;
}

const indexes = new WeakMap<Configuration, ConfigurationIndex>();

/** Returns the index of a configuration. It is built on first use and cached for the lifetime of the configuration. */
export function getConfigurationIndex(configuration: Configuration): ConfigurationIndex {
    const cachedIndex = indexes.get(configuration);
    if (cachedIndex !== undefined) {
        return cachedIndex;
    }
    const index = buildIndex(configuration);
    indexes.set(configuration, index);
    return index;
}

function buildIndex(configuration: Configuration): ConfigurationIndex {
    const endpoints = listObjects(configuration, "endpoint");
    return {
        workspacesByKey: new Map(listObjects(configuration, "workspace").map(entry => [entry.keySha256, entry])),
        rulesByWorkspace: collectByKey(listObjects(configuration, "rule"), entry => entry.workspace),
        endpointsByPool: collectByKey(endpoints, entry => entry.pool),
        endpoints,
        evacuatedDomains: listEvacuatedDomains(configuration),
        pools: new Map(listObjects(configuration, "pool").map(entry => [entry.name, entry])),
    };
}

function collectByKey<K, T>(entries: readonly T[], getKey: (entry: T) => K): Map<K, T[]> {
    const groups = new Map<K, T[]>();
    for (const entry of entries) {
        const key = getKey(entry);
        const group = groups.get(key) ?? [];
        group.push(entry);
        groups.set(key, group);
    }
    return groups;
}

/** Lists the endpoints of the given pools that the rules of a workspace allow, in the rules' order of preference. */
export function listAllowedEndpoints(
    index: ConfigurationIndex,
    workspace: WorkspaceId,
    pools: readonly PoolId[],
): EndpointObject[] {
    const allowed = (index.rulesByWorkspace.get(workspace) ?? []).flatMap(rule => rule.pools);
    return [...new Set(allowed)]
        .filter(pool => pools.includes(pool))
        .flatMap(pool => index.endpointsByPool.get(pool) ?? []);
}
