/** Entitlements of workspaces in force at admission on this host. */
import {
    admitUse,
    emptyShareState,
    endUse,
    getShare,
    type HostLimits,
    recordRetry,
    recordWorkspaceDemand,
    type ShareState,
    splitLimits,
    unusedWorkspace,
    type WorkspaceDemand,
    type WorkspaceObject,
    type WorkspaceUse,
} from "@currantrill/core";
import type { WorkspaceId } from "@currantrill/protocol";

export type Admission =
    | { readonly admitted: true; readonly grant: Grant; }
    | { readonly admitted: false; readonly reason: "rate" | "concurrency"; readonly retryAfterMs: number; };

/** An admitted request. */
export interface Grant {
    /** Charges the work of a retry. */
    recordRetry(tokens: number): void;
    /** Frees the request's place; further calls do nothing. */
    end(): void;
}

export interface WorkspaceLimits {
    /** Admits a request with the tokens that it may use, or refuses it before anything is run. */
    admit(workspace: WorkspaceObject, tokens: number): Admission;
    /** Part of the entitlement that this host may use now, from 0 to 1. */
    getFraction(workspace: WorkspaceId): number;
    /** Shares of all workspaces for which no demand is published. */
    evenShares: ShareState;
    /** Shares of the workspaces for which demand is published. */
    readonly shares: Map<WorkspaceId, ShareState>;
    /** Hosts of the fleet, this one included. */
    hosts: number;
    getDemand(): WorkspaceDemand;
}

/** Creates the limits of a host that knows `hosts` hosts from its settings. */
export function createWorkspaceLimits(hosts: number): WorkspaceLimits {
    const startedAtMs = performance.now();
    const uses = new Map<WorkspaceId, WorkspaceUse>();
    let demand: WorkspaceDemand = new Map();
    const getUse = (workspace: WorkspaceId): WorkspaceUse => uses.get(workspace) ?? unusedWorkspace;
    const limitsOf = (workspace: WorkspaceObject): HostLimits =>
        splitLimits(workspace, limits.getFraction(workspace.name));
    const createGrant = (workspace: WorkspaceObject): Grant => {
        let hasEnded = false;
        return {
            recordRetry: tokens => {
                const use = recordRetry(getUse(workspace.name), limitsOf(workspace), tokens, performance.now());
                uses.set(workspace.name, use);
            },
            end: () => {
                if (!hasEnded) {
                    hasEnded = true;
                    uses.set(workspace.name, endUse(getUse(workspace.name)));
                }
            },
        };
    };
    const limits: WorkspaceLimits = {
        evenShares: emptyShareState,
        shares: new Map(),
        hosts,
        getDemand: () => demand,
        getFraction: workspace =>
            getShare(limits.shares.get(workspace) ?? limits.evenShares, limits.hosts, startedAtMs, performance.now()),
        admit: (workspace, tokens) => {
            const now = performance.now();
            demand = recordWorkspaceDemand(demand, workspace.name, tokens, now);
            const decision = admitUse(getUse(workspace.name), limitsOf(workspace), tokens, now);
            uses.set(workspace.name, decision.use);
            return decision.admitted ? { admitted: true, grant: createGrant(workspace) } : decision;
        },
    };
    return limits;
}
