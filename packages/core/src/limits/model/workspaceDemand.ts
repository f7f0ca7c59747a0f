/** Demand of workspaces on one host: an exponentially decaying average of requested tokens per second. */
import type { WorkspaceId } from "@currantrill/protocol";

/** Time constant of the average; longer than the bursts of a single caller. */
export const DEMAND_TIME_CONSTANT_MS = 10_000;

/** Demand of one workspace at `updatedAtMs`; it decays from then on. */
export interface DemandEntry {
    readonly tokensPerSecond: number;
    readonly updatedAtMs: number;
}

/** Demand by workspace. A workspace without an entry has no demand. */
export type WorkspaceDemand = ReadonlyMap<WorkspaceId, DemandEntry>;
