/** Admission of requests by the shares that this host has of the entitlements of the workspaces. */
import {
    admitWorkspaceRequest,
    computeHostLimits,
    emptyShareState,
    endWorkspaceRequest,
    getShare,
    type HostLimits,
    initialWorkspaceUse,
    recordRetry,
    recordWorkspaceDemand,
    type ShareState,
    type WorkspaceDemand,
    type WorkspaceObject,
    type WorkspaceUse,
} from "@currantrill/core";
import type { WorkspaceId } from "@currantrill/protocol";

/** Result of an admission. A refusal states the exceeded limit and when a retry can succeed. */
export type Admission =
    | { readonly admitted: true; readonly grant: Grant; }
    | { readonly admitted: false; readonly reason: "rate" | "concurrency"; readonly retryAfterMs: number; };

/** Handle of an admitted request. */
export interface Grant {
    /** Charges the tokens of a retry to the workspace. */
    recordRetry(tokens: number): void;
    /** Ends the request, which no longer counts as concurrent. Further calls do nothing. */
    end(): void;
}

/** Limits of all workspaces on this host, and the demand measured here. */
export interface WorkspaceLimits {
    /** Admits or refuses a request before any work is done for it. `tokens` is the number that it may use. */
    admit(workspace: WorkspaceObject, tokens: number): Admission;
    /** Fraction of the entitlement that this host may use now, from 0 to 1. */
    getEntitlementFraction(workspace: WorkspaceId): number;
    /** Shares of this host for all workspaces without published demand. */
    evenShares: ShareState;
    /** Shares of this host for the workspaces with published demand. */
    readonly shares: Map<WorkspaceId, ShareState>;
    /** Number of hosts of the fleet, this one included. */
    hosts: number;
    /** Returns the demand of the requests to this host, admitted or refused. */
    getDemand(): WorkspaceDemand;
}

/** Creates the limits. `hosts` is the number of hosts in the settings, used until the first exchange of demand. */
export function createWorkspaceLimits(hosts: number): WorkspaceLimits {
    const startedAtMs = performance.now();
    const usage = new Map<WorkspaceId, WorkspaceUse>();
    let demand: WorkspaceDemand = new Map();
    const getUse = (workspace: WorkspaceId): WorkspaceUse => usage.get(workspace) ?? initialWorkspaceUse;
    const getLimits = (workspace: WorkspaceObject): HostLimits =>
        computeHostLimits(workspace, limits.getEntitlementFraction(workspace.name));
    const createGrant = (workspace: WorkspaceObject): Grant => {
        let hasEnded = false;
        return {
            recordRetry: tokens => {
                const use = recordRetry(getUse(workspace.name), getLimits(workspace), tokens, performance.now());
                usage.set(workspace.name, use);
            },
            end: () => {
                if (!hasEnded) {
                    hasEnded = true;
                    usage.set(workspace.name, endWorkspaceRequest(getUse(workspace.name)));
                }
            },
        };
    };
    const limits: WorkspaceLimits = {
        evenShares: emptyShareState,
        shares: new Map(),
        hosts,
        getDemand: () => demand,
        getEntitlementFraction: workspace =>
            getShare(limits.shares.get(workspace) ?? limits.evenShares, limits.hosts, startedAtMs, performance.now()),
        admit: (workspace, tokens) => {
            const now = performance.now();
            demand = recordWorkspaceDemand(demand, workspace.name, tokens, now);
            const decision = admitWorkspaceRequest(getUse(workspace.name), getLimits(workspace), tokens, now);
            usage.set(workspace.name, decision.use);
            return decision.admitted ? { admitted: true, grant: createGrant(workspace) } : decision;
        },
    };
    return limits;
}
