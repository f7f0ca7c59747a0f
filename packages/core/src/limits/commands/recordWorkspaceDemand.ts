import type { WorkspaceId } from "@currantrill/protocol";
import { DEMAND_AVERAGE_MS, type WorkspaceDemand } from "../model/workspaceDemand.js";
import { measureWorkspaceDemand } from "../queries/measureWorkspaceDemand.js";

const MS_PER_SECOND = 1_000;

/** Records tokens that a workspace asked for, whether they were granted or not. */
export function recordWorkspaceDemand(
    meter: WorkspaceDemand,
    workspace: WorkspaceId,
    tokens: number,
    now: number,
): WorkspaceDemand {
    const added = tokens * MS_PER_SECOND / DEMAND_AVERAGE_MS;
    const tokensPerSecond = measureWorkspaceDemand(meter, workspace, now) + added;
    return new Map(meter).set(workspace, { tokensPerSecond, updatedAtMs: now });
}
