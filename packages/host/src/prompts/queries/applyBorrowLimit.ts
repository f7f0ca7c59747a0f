/** Enforces the largest part of a borrowed pool that a lending rule grants. */
import { computeBorrowLimit, type EndpointView } from "@currantrill/core";
import type { PoolId, WorkspaceId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";

/**
 * Shows the endpoints of pools from which the workspace may borrow no more as full. A prompt that could only go there
 * waits in the queue until one of the workspace's prompts ends.
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

function listExhaustedPools(context: HostContext, workspace: WorkspaceId): ReadonlySet<PoolId> {
    const { endpointsByPool, pools, rulesByWorkspace } = getConfigurationIndex(context.configuration.current);
    const exhausted = new Set<PoolId>();
    for (const rule of rulesByWorkspace.get(workspace) ?? []) {
        const borrowed = rule.maxShare < 1 ? rule.pools.filter(pool => pools.get(pool)?.owner !== workspace) : [];
        for (const pool of borrowed) {
            const poolSlots = (endpointsByPool.get(pool) ?? []).reduce((sum, endpoint) => sum + endpoint.slots, 0);
            const fraction = context.limits.getFraction(workspace);
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

/** A gang holds a slot on each of its members. */
function countHeldSlots(context: HostContext, workspace: WorkspaceId, pool: PoolId): number {
    const views = context.beliefs.getAll();
    return [...context.attempts.values()]
        .filter(attempt => attempt.workspace === workspace)
        .flatMap(attempt => attempt.members)
        .filter(member => views.get(member)?.pool === pool)
        .length;
}
