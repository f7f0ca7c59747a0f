/** Publishes the demand of workspaces, and computes the shares of this host from the demand that all hosts publish. */
import {
    choosePublishedDemand,
    EXCHANGE_INTERVAL_MS,
    listGateways,
    listObjects,
    measureWorkspaceDemand,
    updateShares,
    type WorkspaceObject,
} from "@currantrill/core";
import type { DemandFact, WorkspaceId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { publishFact } from "../../peers/commands/publishFact.js";
import { listDemandScopes, type ListedScope } from "../queries/listDemandScopes.js";

/** Interval at which demand is measured and the shares are updated. */
const PUBLISH_INTERVAL_MS = 5_000;
/** Time after which unchanged demand is published again, for hosts that missed or removed it. */
const REPUBLISH_DELAY_MS = 60_000;

/** Starts the periodic exchange of demand, until the returned timer is cleared. */
export function startDemandExchange(context: HostContext): NodeJS.Timeout {
    const contendedUntil = new Map<WorkspaceId, number>();
    return setInterval(() => updateDemand(context, contendedUntil), PUBLISH_INTERVAL_MS);
}

/**
 * Updates the shares from the published demand, and publishes the demand of this host and, on the first gateway, that
 * of its failure domain. `contendedUntil` keeps each workspace with published demand for another
 * `EXCHANGE_INTERVAL_MS`.
 */
export function updateDemand(context: HostContext, contendedUntil: Map<WorkspaceId, number>): void {
    const now = performance.now();
    const scopes = listDemandScopes(context);
    context.limits.hosts = scopes.reduce((sum, scope) => sum + scope.hosts, 0);
    scopes.flatMap(scope => Object.keys(scope.published) as WorkspaceId[])
        .forEach(workspace => contendedUntil.set(workspace, now + EXCHANGE_INTERVAL_MS));
    [...contendedUntil].filter(([, until]) => until < now).forEach(([workspace]) => {
        contendedUntil.delete(workspace);
        context.limits.shares.delete(workspace);
    });
    updateLimits(context, scopes, [...contendedUntil.keys()]);
    publishHostDemand(context, contendedUntil);
    publishDomainSum(context, scopes);
}

/** Updates the shares of this host: by the number of hosts in general, and by demand for contended workspaces. */
function updateLimits(context: HostContext, scopes: readonly ListedScope[], contended: readonly WorkspaceId[]): void {
    const { limits, fleet, configuration } = context;
    const now = performance.now();
    const evenDemands = scopes.map(scope => ({ ...scope, demand: scope.hosts }));
    limits.evenShares = updateShares(limits.evenShares, fleet.self, evenDemands, now);
    const workspaces = new Map(listObjects(configuration.current, "workspace").map(entry => [entry.name, entry]));
    for (const name of contended) {
        const workspace = workspaces.get(name);
        if (workspace !== undefined) {
            const demands = scopes.map(scope => ({
                ...scope,
                demand: getDemandOfScope(scope, workspace, limits.hosts),
            }));
            const previousShares = limits.shares.get(name) ?? limits.evenShares;
            limits.shares.set(name, updateShares(previousShares, fleet.self, demands, now));
        }
    }
}

/** Demand of a scope in tokens per second; its equal share of the entitlement if it publishes none. */
const getDemandOfScope = (scope: ListedScope, workspace: WorkspaceObject, hosts: number): number =>
    scope.published[workspace.name] ?? workspace.tokensPerSecond * scope.hosts / hosts;

/** Publishes the demand of this host for the workspaces for which `choosePublishedDemand` selects it. */
function publishHostDemand(context: HostContext, contended: ReadonlyMap<WorkspaceId, number>): void {
    const { limits, fleet, configuration } = context;
    const now = performance.now();
    const entries = listObjects(configuration.current, "workspace").flatMap(workspace => {
        const demand = choosePublishedDemand({
            demand: Math.min(
                workspace.tokensPerSecond,
                measureWorkspaceDemand(limits.getDemand(), workspace.name, now),
            ),
            equalShare: workspace.tokensPerSecond / limits.hosts,
            isContended: contended.has(workspace.name),
        });
        return demand === undefined ? [] : [[workspace.name, demand] as const];
    });
    publishDemand(context, {
        kind: "demand",
        scope: fleet.self,
        isDomainSum: false,
        demand: Object.fromEntries(entries),
    });
}

/**
 * Publishes the demand of the failure domain for the other domains, if this host is the first gateway of its domain.
 */
function publishDomainSum(context: HostContext, scopes: readonly ListedScope[]): void {
    const { fleet, limits, configuration } = context;
    if (listGateways(fleet.membership, fleet.failureDomain, performance.now())[0] !== fleet.self) {
        return;
    }
    const localScopes = scopes.filter(scope => fleet.membership.members.has(scope.scope as typeof fleet.self));
    const published = new Set(localScopes.flatMap(scope => Object.keys(scope.published)));
    const entries = listObjects(configuration.current, "workspace")
        .filter(workspace => published.has(workspace.name))
        .map(workspace => {
            const sum = localScopes.reduce(
                (total, scope) => total + getDemandOfScope(scope, workspace, limits.hosts),
                0,
            );
            return [workspace.name, Math.round(sum)] as const;
        });
    publishDemand(context, {
        kind: "demand",
        scope: fleet.failureDomain,
        isDomainSum: true,
        demand: Object.fromEntries(entries),
    });
}

/** Publishes demand that has changed or was published long ago. Empty demand is published only when it has changed. */
function publishDemand(context: HostContext, fact: DemandFact): void {
    const stored = context.fleet.gossip.facts.get(`demand/${fact.scope}`);
    const last = stored?.versioned.fact as DemandFact | undefined;
    const isChanged = JSON.stringify(last?.demand ?? {}) !== JSON.stringify(fact.demand);
    const isOld = stored !== undefined && performance.now() - stored.receivedAtMs > REPUBLISH_DELAY_MS;
    if (isChanged || (isOld && Object.keys(fact.demand).length > 0)) {
        publishFact(context, fact);
    }
}
