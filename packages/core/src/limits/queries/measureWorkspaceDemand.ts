import type { WorkspaceId } from "@currantrill/protocol";
import { DEMAND_TIME_CONSTANT_MS, type WorkspaceDemand } from "../model/workspaceDemand.js";

/** Ratio of adjacent published values. A finer scale would publish changes that have no noticeable effect on shares. */
const DEMAND_STEP = 1.5;

/** Tokens per second that a workspace requests now. */
export function measureWorkspaceDemand(meter: WorkspaceDemand, workspace: WorkspaceId, now: number): number {
    const entry = meter.get(workspace);
    return entry === undefined
        ? 0
        : entry.tokensPerSecond * Math.exp(-Math.max(0, now - entry.updatedAtMs) / DEMAND_TIME_CONSTANT_MS);
}

/** Rounds a demand to the scale of published values. */
export const roundDemand = (tokensPerSecond: number): number =>
    tokensPerSecond < 1 ? 0 : Math.round(DEMAND_STEP ** Math.round(Math.log(tokensPerSecond) / Math.log(DEMAND_STEP)));

export interface PublishedDemandInput {
    /** Demand on this host in tokens per second. */
    readonly demand: number;
    /** A host's share of the entitlement if all hosts get the same, in tokens per second. */
    readonly equalShare: number;
    /** Whether some scope has published a demand for the workspace. */
    readonly isContended: boolean;
}

/** Fraction of the equal share below which a host publishes its demand, so that other hosts can use the rest. */
const LOW_DEMAND_FRACTION = 0.5;

/**
 * Chooses the demand to publish for a workspace; `undefined` means the equal share and is not published. Most
 * workspaces are spread evenly by the load balancer and stay within their entitlement, so that few values are
 * published. If every host published every active workspace, this would take more than the entire control traffic at
 * 930 workspaces.
 */
export function choosePublishedDemand({ demand, equalShare, isContended }: PublishedDemandInput): number | undefined {
    const isHigh = demand > equalShare;
    const isLow = isContended && demand < LOW_DEMAND_FRACTION * equalShare;
    return isHigh || isLow ? roundDemand(demand) : undefined;
}
