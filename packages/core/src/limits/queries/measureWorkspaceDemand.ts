import type { WorkspaceId } from "@currantrill/protocol";
import { DEMAND_AVERAGE_MS, type WorkspaceDemand } from "../model/workspaceDemand.js";

/** Ratio of neighbouring published values. A finer scale would publish changes that move no share noticeably. */
const DEMAND_STEP = 1.5;

/** Tokens per second that a workspace asks for now. */
export function measureWorkspaceDemand(meter: WorkspaceDemand, workspace: WorkspaceId, now: number): number {
    const entry = meter.get(workspace);
    return entry === undefined
        ? 0
        : entry.tokensPerSecond * Math.exp(-Math.max(0, now - entry.updatedAtMs) / DEMAND_AVERAGE_MS);
}

/** Rounds a demand to the published scale. */
export const roundDemand = (tokensPerSecond: number): number =>
    tokensPerSecond < 1 ? 0 : Math.round(DEMAND_STEP ** Math.round(Math.log(tokensPerSecond) / Math.log(DEMAND_STEP)));

export interface DemandToPublish {
    /** Own demand in tokens per second. */
    readonly demand: number;
    /** Equal share of the entitlement, in tokens per second. */
    readonly equalShare: number;
    /** Whether some scope has published a demand for the workspace. */
    readonly isContended: boolean;
}

/** Part of the equal share below which a host gives the rest to hosts that need it. */
const LOW_USE = 0.5;

/**
 * The demand to publish for a workspace; `undefined` stands for the equal share. Load balancing spreads most workspaces
 * evenly and most stay within their entitlement, so that few values are published: every host publishing every active
 * workspace would take more than the whole control traffic at 930 workspaces.
 */
export function choosePublishedDemand({ demand, equalShare, isContended }: DemandToPublish): number | undefined {
    const isHigh = demand > equalShare;
    const isLow = isContended && demand < LOW_USE * equalShare;
    return isHigh || isLow ? roundDemand(demand) : undefined;
}
