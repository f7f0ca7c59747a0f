/** The shares of a workspace's entitlement stay within it, up to the stated overshoot. */
import { EXCHANGE_INTERVAL_MS, SUSPICION_MS } from "@currantrill/core";
import { type EventOfType, type History, listEvents } from "../model/history.js";

/** Largest sum of the shares while all hosts are connected. */
const MAX_CONNECTED = 1.05;
/** While no host has noticed the partition: a host may grow by a demand of which the others never hear. */
const MAX_UNNOTICED = 1.5;
/** Once the partition is noticed, and after it. */
const MAX_PARTITIONED = 1.25;
/** Suspicion time and one update. */
const NOTICE_MS = SUSPICION_MS + 1_000;

export function checkShares(history: History): string[] {
    const shares = new Map<string, EventOfType<"share">>();
    const startedAtMs = new Map<string, number>();
    const hosts = new Set(listEvents(history, "share").map(event => event.host)).size;
    let cutSinceMs: number | undefined;
    let isCut = false;
    return history.flatMap((event, index) => {
        if (event.type === "cut" || event.type === "healed") {
            cutSinceMs = event.type === "cut" && !isCut ? event.atMs : cutSinceMs;
            isCut = event.type === "cut";
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
        // A host that has just started takes up to the equal share before the others have heard of it.
        const started = [...startedAtMs.values()].filter(atMs => event.atMs - atMs <= EXCHANGE_INTERVAL_MS).length;
        const allowed = getLimit(cutSinceMs, event.atMs) + started / hosts;
        const sum = [...shares.values()].reduce((total, share) => total + share.fraction, 0);
        return sum > allowed ? [`the shares add up to ${sum.toFixed(3)} of ${allowed} at ${event.atMs}`] : [];
    });
}

function getLimit(cutSinceMs: number | undefined, atMs: number): number {
    if (cutSinceMs === undefined) {
        return MAX_CONNECTED;
    }
    return atMs - cutSinceMs <= NOTICE_MS ? MAX_UNNOTICED : MAX_PARTITIONED;
}
