/** Look-ups in a configuration that would otherwise scan it for every request. */
import {
    type Configuration,
    type EndpointObject,
    listObjects,
    type PoolObject,
    type RuleObject,
    type WorkspaceObject,
} from "@currantrill/core";
import type { PoolId, WorkspaceId } from "@currantrill/protocol";

export interface ConfigurationIndex {
    readonly workspacesByKey: ReadonlyMap<string, WorkspaceObject>;
    readonly rulesByWorkspace: ReadonlyMap<WorkspaceId, readonly RuleObject[]>;
    readonly endpointsByPool: ReadonlyMap<PoolId, readonly EndpointObject[]>;
    readonly endpoints: readonly EndpointObject[];
    readonly pools: ReadonlyMap<PoolId, PoolObject>;
}

const indexes = new WeakMap<Configuration, ConfigurationIndex>();

/** Returns the index of a configuration and builds it at the first use. */
export function getConfigurationIndex(configuration: Configuration): ConfigurationIndex {
    const known = indexes.get(configuration);
    if (known !== undefined) {
        return known;
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

/** Endpoints of those of the given pools that a rule lets the workspace use, in the rule's order of preference. */
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
