import type { WorkspaceId } from "@currantrill/protocol";
import { DEMAND_AVERAGE_MS, type DemandMeter } from "../model/demand.js";
import { measureDemand } from "../queries/measureDemand.js";

const MS_PER_SECOND = 1_000;

/** Records tokens that a workspace asked for, whether they were granted or not. */
export function recordDemand(meter: DemandMeter, workspace: WorkspaceId, tokens: number, now: number): DemandMeter {
    const added = tokens * MS_PER_SECOND / DEMAND_AVERAGE_MS;
    const tokensPerSecond = measureDemand(meter, workspace, now) + added;
    return new Map(meter).set(workspace, { tokensPerSecond, updatedAtMs: now });
}
