/** What workspaces ask of one host, as an average that decays. */
import type { WorkspaceId } from "@currantrill/protocol";

/** Time constant of the average. Longer than the bursts of a single caller. */
export const DEMAND_AVERAGE_MS = 10_000;

export interface DemandEntry {
    readonly tokensPerSecond: number;
    readonly updatedAtMs: number;
}

export type WorkspaceDemand = ReadonlyMap<WorkspaceId, DemandEntry>;
