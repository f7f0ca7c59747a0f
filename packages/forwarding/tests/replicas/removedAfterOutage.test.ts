import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type ReplicaFleet, type ReplicaHost, startReplicaFleet } from "./fleetOfReplicas.js";

let fleet: ReplicaFleet;
beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
    fleet.stop();
    vi.useRealTimers();
});

interface Case {
    readonly name: string;
    readonly host: "follower" | "late follower" | "copying" | "copying and cut off";
    /** Time of the removal after the store is available again; a negative one is within the outage. */
    readonly removedAfterMs: number;
    /** Whether the row may be written again, because it can have expired during the outage. */
    readonly mayReturn: boolean;
}

const cases: readonly Case[] = [
    { name: "expires during the outage", host: "follower", removedAfterMs: -500, mayReturn: true },
    { name: "expires during the outage", host: "late follower", removedAfterMs: -500, mayReturn: true },
    { name: "expires during the outage", host: "copying", removedAfterMs: -500, mayReturn: true },
    { name: "expires during the outage", host: "copying and cut off", removedAfterMs: -500, mayReturn: true },
    { name: "is removed after the outage", host: "follower", removedAfterMs: 1_800, mayReturn: false },
    { name: "is removed after the outage", host: "late follower", removedAfterMs: 1_800, mayReturn: false },
    { name: "is removed after the outage", host: "copying", removedAfterMs: 1_800, mayReturn: false },
    { name: "is removed after the outage", host: "copying and cut off", removedAfterMs: 1_800, mayReturn: false },
    { name: "is removed 2.9 s after the outage", host: "copying", removedAfterMs: 2_900, mayReturn: false },
    { name: "is removed 2.9 s after the outage", host: "copying and cut off", removedAfterMs: 2_900, mayReturn: false },
];

/** Time between two other changes, each of which is copied. */
const CHANGE_INTERVAL_MS = 300;

describe("a row that is removed around an outage of the store", () => {
    // Guards against requests to an endpoint that has left, because its removal is taken for an entry that expired
    // during the outage. Endpoints write their entries again after the outage, so that there are copies all the time.
    it.each(cases)("and $name is known as such at a $host host", async ({ host, removedAfterMs, mayReturn }) => {
        fleet = startReplicaFleet(["f1", "f2", "late", "c1", "c2"], ["f1", "f2", "late"]);
        const [f1, f2, late, c1, c2] = fleet.hosts as [
            ReplicaHost,
            ReplicaHost,
            ReplicaHost,
            ReplicaHost,
            ReplicaHost,
        ];
        const measured = { "follower": f1, "late follower": late, "copying": c1, "copying and cut off": c2 }[host];
        fleet.store.put("leaving");
        fleet.store.put("a");
        await vi.advanceTimersByTimeAsync(6_000);
        const affected = [f1, f2, late, c2];
        affected.forEach(each => void (each.storeFault = "unavailable"));
        c2.follows = true;
        await vi.advanceTimersByTimeAsync(5_000);
        if (removedAfterMs < 0) {
            fleet.store.remove("leaving");
        }
        await vi.advanceTimersByTimeAsync(500);
        [f1, f2].forEach(each => void (each.storeFault = undefined));
        for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += CHANGE_INTERVAL_MS) {
            if (elapsedMs >= 1_200) {
                late.storeFault = undefined;
                c2.storeFault = undefined;
                c2.follows = false;
            }
            if (removedAfterMs >= elapsedMs && removedAfterMs < elapsedMs + CHANGE_INTERVAL_MS) {
                fleet.store.remove("leaving");
            }
            fleet.store.put(`row-${elapsedMs}`);
            await vi.advanceTimersByTimeAsync(CHANGE_INTERVAL_MS);
        }
        await vi.advanceTimersByTimeAsync(1_000);
        const removal = measured.changes.find(({ keys, atMs }) => keys.includes("leaving") && atMs > 6_000);
        expect(measured.table.getReplica().rows.has("leaving")).toBe(false);
        expect(removal?.afterOutage).toBe(mayReturn);
    });
});
