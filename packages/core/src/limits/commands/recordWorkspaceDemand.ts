import type { WorkspaceId } from "@currantrill/protocol";
import { DEMAND_TIME_CONSTANT_MS, type WorkspaceDemand } from "../model/workspaceDemand.js";
import { measureWorkspaceDemand } from "../queries/measureWorkspaceDemand.js";

const MS_PER_SECOND = 1_000;

/** Adds the tokens of a request to the demand of its workspace, whether the request is admitted or not. */
export function recordWorkspaceDemand(
    meter: WorkspaceDemand,
    workspace: WorkspaceId,
    tokens: number,
    now: number,
): WorkspaceDemand {
    const added = tokens * MS_PER_SECOND / DEMAND_TIME_CONSTANT_MS;
    const tokensPerSecond = measureWorkspaceDemand(meter, workspace, now) + added;
    return new Map(meter).set(workspace, { tokensPerSecond, updatedAtMs: now });
}
