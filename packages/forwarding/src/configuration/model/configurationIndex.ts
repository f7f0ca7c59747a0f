import type { ServiceId } from "@currantrill/protocol";
import type { Route, ServiceDefinition, ServingConfiguration, WorkspaceKeys } from "./servingConfiguration.js";

/** A serving configuration with indexes for the look-ups of a request. */
export interface ConfigurationIndex {
    readonly configuration: ServingConfiguration;
    /** Routes by host, longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly services: ReadonlyMap<ServiceId, ServiceDefinition>;
    /** Workspaces by API key. */
    readonly workspacesByKey: ReadonlyMap<string, WorkspaceKeys>;
}

export function buildConfigurationIndex(configuration: ServingConfiguration): ConfigurationIndex {
    const routesByHost = new Map<string, Route[]>();
    for (const route of configuration.routes) {
        const routes = routesByHost.get(route.host) ?? [];
        routes.push(route);
        routesByHost.set(route.host, routes);
    }
    for (const routes of routesByHost.values()) {
        routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    return {
        configuration,
        routesByHost,
        services: new Map(configuration.services.map(service => [service.name, service])),
        workspacesByKey: new Map(
            (configuration.workspaces ?? []).flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)),
        ),
    };
}
