/** Checks that the hosts' shares of a workspace's entitlement add up to at most the whole and a stated overshoot. */
import { EXCHANGE_INTERVAL_MS, SUSPICION_TIMEOUT_MS } from "@currantrill/core";
import { type EventOfType, type History, listEvents } from "../model/history.js";

/** Largest sum of the shares while all hosts are connected. */
const MAX_SUM_CONNECTED = 1.05;
/**
 * Largest sum before the hosts detect a partition: a share may grow for a demand that hosts on the other side never
 * receive.
 */
const MAX_SUM_UNDETECTED = 1.5;
/** Largest sum after the hosts have detected the partition, and after its end. */
const MAX_SUM_PARTITIONED = 1.25;
/** Time until all hosts have detected a partition: the suspicion time and one update of the shares. */
const PARTITION_DETECTION_MS = SUSPICION_TIMEOUT_MS + 1_000;

/** Returns a finding for each time at which the sum of the shares is too large. */
export function checkShares(history: History): string[] {
    const shares = new Map<string, EventOfType<"share">>();
    const startedAtMs = new Map<string, number>();
    const hostCount = new Set(listEvents(history, "share").map(event => event.host)).size;
    let partitionedSinceMs: number | undefined;
    let isPartitioned = false;
    return history.flatMap((event, index) => {
        if (event.type === "disconnected" || event.type === "reconnected") {
            partitionedSinceMs = event.type === "disconnected" && !isPartitioned ? event.atMs : partitionedSinceMs;
            isPartitioned = event.type === "disconnected";
        }
        if (event.type !== "share") {
            return [];
        }
        const before = shares.get(event.host);
        if (before?.fraction === 0 && event.fraction > 0) {
            startedAtMs.set(event.host, event.atMs);
        }
        shares.set(event.host, event);
        if (history[index + 1]?.type === "share") {
            return [];
        }
        // A host that has just started may use up to the equal share before the others have received its demand.
        const recentStarts = [...startedAtMs.values()].filter(atMs => event.atMs - atMs <= EXCHANGE_INTERVAL_MS).length;
        const allowed = getMaxSum(partitionedSinceMs, event.atMs) + recentStarts / hostCount;
        const sum = [...shares.values()].reduce((total, share) => total + share.fraction, 0);
        return sum > allowed ? [`the shares add up to ${sum.toFixed(3)} of ${allowed} at ${event.atMs}`] : [];
    });
}

function getMaxSum(partitionedSinceMs: number | undefined, atMs: number): number {
    if (partitionedSinceMs === undefined) {
        return MAX_SUM_CONNECTED;
    }
    return atMs - partitionedSinceMs <= PARTITION_DETECTION_MS ? MAX_SUM_UNDETECTED : MAX_SUM_PARTITIONED;
}
