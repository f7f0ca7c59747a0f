import type { PromptPlacement } from "../../placement/model/promptPlacement.js";
import type { AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";
import type { StreamAttemptPlan } from "../model/streamAttempt.js";

/** Adds the record of an attempt of a stream to those of its exchange. */
export function createStreamRecord(exchange: Exchange, plan: StreamAttemptPlan): AttemptRecord {
    const record: AttemptRecord = {
        endpoint: plan.endpoint.entry.id,
        sentAfterMs: Math.round(performance.now() - exchange.startedAtMs),
        ...describeEstimate(plan.placement),
        ...(plan.shardTargets.length === 0 ? {} : { parts: plan.shardTargets.map(target => target.address) }),
        outcome: "pending",
        wasSent: false,
    };
    exchange.attempts.push(record);
    return record;
}

/** Describes the estimate of the placement and the work on the endpoint that it took into account. */
const describeEstimate = (placement: PromptPlacement): Partial<AttemptRecord> => ({
    expectedMs: Math.round(placement.firstEventMs),
    backlogMs: Math.round(placement.backlogMs),
    booked: placement.assignedCount,
    cost: Number(placement.cost.toFixed(2)),
});
