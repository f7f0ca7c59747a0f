/** Enforces the `maxShare` of lending rules: the largest fraction of a borrowed pool that a workspace may use. */
import { computeBorrowLimit, type EndpointView } from "@currantrill/core";
import type { PoolId, WorkspaceId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";

/**
 * Returns the views with no free slots and memory for the endpoints of pools whose borrow limit the workspace has
 * reached. A prompt that only these endpoints could serve stays queued until one of the workspace's prompts ends.
 */
export function applyBorrowLimit(
    context: HostContext,
    workspace: WorkspaceId,
    views: readonly EndpointView[],
): readonly EndpointView[] {
    const exhausted = listExhaustedPools(context, workspace);
    return exhausted.size === 0
        ? views
        : views.map(view => exhausted.has(view.pool) ? { ...view, freeSlots: 0, freeMemoryTokens: 0 } : view);
}

/** Lists the pools of other workspaces in which this host holds as many slots for the workspace as its rules allow. */
function listExhaustedPools(context: HostContext, workspace: WorkspaceId): ReadonlySet<PoolId> {
    const { endpointsByPool, pools, rulesByWorkspace } = getConfigurationIndex(context.configuration.current);
    const exhausted = new Set<PoolId>();
    for (const rule of rulesByWorkspace.get(workspace) ?? []) {
        const borrowed = rule.maxShare < 1 ? rule.pools.filter(pool => pools.get(pool)?.owner !== workspace) : [];
        for (const pool of borrowed) {
            const poolSlots = (endpointsByPool.get(pool) ?? []).reduce((sum, endpoint) => sum + endpoint.slots, 0);
            const fraction = context.limits.getEntitlementFraction(workspace);
            if (
                countHeldSlots(context, workspace, pool)
                    >= computeBorrowLimit({ maxShare: rule.maxShare, poolSlots, fraction })
            ) {
                exhausted.add(pool);
            }
        }
    }
    return exhausted;
}

/** Counts the workspace's slots in the pool through this host. A gang occupies a slot on each of its members. */
function countHeldSlots(context: HostContext, workspace: WorkspaceId, pool: PoolId): number {
    const views = context.endpointStates.getViews();
    return [...context.attempts.values()]
        .filter(attempt => attempt.workspace === workspace)
        .flatMap(attempt => attempt.members)
        .filter(member => views.get(member)?.pool === pool)
        .length;
}
