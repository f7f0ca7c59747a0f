import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type ReplicaFleet, type ReplicaHost, startReplicaFleet } from "./fleetOfReplicas.js";

/** Time from the acknowledgement of a change until it has to be in force at each host that hears the store or a peer. */
const GOAL_MS = 1_000;

let fleet: ReplicaFleet;
beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
    fleet.stop();
    vi.useRealTimers();
});

interface Case {
    readonly name: string;
    /** Whether the measured host follows the store. */
    readonly follows: boolean;
    /** Disturbs hosts before the change is made; `early` is the host that announces it first. */
    readonly disturb: (hosts: { measured: ReplicaHost; early: ReplicaHost; others: readonly ReplicaHost[]; }) => void;
}

const cases: readonly Case[] = [
    { name: "nothing else happens", follows: false, disturb: () => undefined },
    {
        name: "the first announcer hangs",
        follows: false,
        disturb: ({ early }) => void (early.peerFault = "announcesOnly"),
    },
    {
        name: "two announcers hang",
        follows: false,
        disturb: ({ early, others }) =>
            [early, ...others.slice(0, 1)].forEach(host => void (host.peerFault = "announcesOnly")),
    },
    {
        name: "the first announcer refuses",
        follows: false,
        disturb: ({ early }) => void (early.peerFault = "refusing"),
    },
    {
        name: "its feed is silent",
        follows: true,
        disturb: ({ measured }) => void (measured.storeFault = "silentFeed"),
    },
    {
        name: "its feed is silent, an announcer hangs",
        follows: true,
        disturb: ({ measured, early }) => {
            measured.storeFault = "silentFeed";
            early.peerFault = "announcesOnly";
        },
    },
    {
        name: "the store refuses its calls",
        follows: true,
        disturb: ({ measured }) => void (measured.storeFault = "unavailable"),
    },
    {
        name: "the store answers with old reads",
        follows: true,
        disturb: ({ measured }) => void (measured.storeFault = "goneAndStale"),
    },
];

describe("a change of a table", () => {
    // Guards against a host that acts on an old table for seconds although other hosts have the change.
    it.each(cases)("is in force within 1 s at a host if $name", async ({ follows, disturb }) => {
        fleet = startReplicaFleet(["early", "o1", "o2", "o3", "measured"], ["early", "o1", "o2", "o3"]);
        const [early, o1, o2, o3, measured] = fleet.hosts as [
            ReplicaHost,
            ReplicaHost,
            ReplicaHost,
            ReplicaHost,
            ReplicaHost,
        ];
        measured.follows = follows;
        fleet.store.put("a");
        await vi.advanceTimersByTimeAsync(6_000);
        expect(measured.table.getReplica().rows.has("a")).toBe(true);
        disturb({ measured, early, others: [o1, o2, o3] });
        // The disturbed call has to be the one in progress.
        await vi.advanceTimersByTimeAsync(50);
        fleet.store.put("b");
        expect(await fleet.measureArrival(measured, "b", 5_000)).toBeLessThan(GOAL_MS);
    });
});
