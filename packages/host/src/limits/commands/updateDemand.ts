/** Publishes demand, and computes the shares in force from what is published. */
import {
    choosePublishedDemand,
    EXCHANGE_INTERVAL_MS,
    listObjects,
    listRelays,
    measureWorkspaceDemand,
    updateShares,
    type WorkspaceObject,
} from "@currantrill/core";
import type { DemandFact, WorkspaceId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { publishFact } from "../../peers/commands/publishFact.js";
import { listDemandScopes, type ListedScope } from "../queries/listDemandScopes.js";

const EXCHANGE_MS = 5_000;
/** Time after which an unchanged demand is published again, for hosts that have lost it. */
const REFRESH_MS = 60_000;

/** Starts the exchange, until the timer returned is cleared. */
export function startDemandExchange(context: HostContext): NodeJS.Timeout {
    const contendedUntil = new Map<WorkspaceId, number>();
    return setInterval(() => updateDemand(context, contendedUntil), EXCHANGE_MS);
}

/** One round. `contendedUntil` remembers workspaces with published demand for one exchange interval longer. */
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
    publishOwnDemand(context, contendedUntil);
    publishDomainSum(context, scopes);
}

function updateLimits(context: HostContext, scopes: readonly ListedScope[], contended: readonly WorkspaceId[]): void {
    const { limits, fleet, configuration } = context;
    const now = performance.now();
    const even = scopes.map(scope => ({ ...scope, demand: scope.hosts }));
    limits.evenShares = updateShares(limits.evenShares, fleet.self, even, now);
    const workspaces = new Map(listObjects(configuration.current, "workspace").map(entry => [entry.name, entry]));
    for (const name of contended) {
        const workspace = workspaces.get(name);
        if (workspace !== undefined) {
            const demands = scopes.map(scope => ({ ...scope, demand: readDemand(scope, workspace, limits.hosts) }));
            const known = limits.shares.get(name) ?? limits.evenShares;
            limits.shares.set(name, updateShares(known, fleet.self, demands, now));
        }
    }
}

const readDemand = (scope: ListedScope, workspace: WorkspaceObject, hosts: number): number =>
    scope.published[workspace.name] ?? workspace.tokensPerSecond * scope.hosts / hosts;

function publishOwnDemand(context: HostContext, contended: ReadonlyMap<WorkspaceId, number>): void {
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

/** The first relay publishes the sum over its domain for the other domains. */
function publishDomainSum(context: HostContext, scopes: readonly ListedScope[]): void {
    const { fleet, limits, configuration } = context;
    if (listRelays(fleet.membership, fleet.failureDomain, performance.now())[0] !== fleet.self) {
        return;
    }
    const own = scopes.filter(scope => fleet.membership.members.has(scope.scope as typeof fleet.self));
    const published = new Set(own.flatMap(scope => Object.keys(scope.published)));
    const entries = listObjects(configuration.current, "workspace")
        .filter(workspace => published.has(workspace.name))
        .map(workspace => {
            const sum = own.reduce((total, scope) => total + readDemand(scope, workspace, limits.hosts), 0);
            return [workspace.name, Math.round(sum)] as const;
        });
    publishDemand(context, {
        kind: "demand",
        scope: fleet.failureDomain,
        isDomainSum: true,
        demand: Object.fromEntries(entries),
    });
}

/** Publishes a demand that has changed, or that was published long ago. An empty one is published only as a change. */
function publishDemand(context: HostContext, fact: DemandFact): void {
    const held = context.fleet.flood.facts.get(`demand/${fact.scope}`);
    const last = held?.versioned.fact as DemandFact | undefined;
    const isChanged = JSON.stringify(last?.demand ?? {}) !== JSON.stringify(fact.demand);
    const isOld = held !== undefined && performance.now() - held.receivedAtMs > REFRESH_MS;
    if (isChanged || (isOld && Object.keys(fact.demand).length > 0)) {
        publishFact(context, fact);
    }
}
