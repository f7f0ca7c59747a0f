import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRecoveryTracker, type RecoveryTracker } from "../../../src/replicas/model/recoveryTracker.js";

const endOwnOutage = (tracker: RecoveryTracker): void => {
    tracker.recordOutage(10);
    vi.advanceTimersByTime(3_000);
    tracker.recordEnd(30);
};
const hearFromPeerFirst = (tracker: RecoveryTracker): void => {
    tracker.recordOutage(10);
    tracker.recordPeer({ version: 20, remainingMs: 2_000 });
    vi.advanceTimersByTime(500);
    tracker.recordEnd(30);
};
const hearOfEarlierOutage = (tracker: RecoveryTracker): void => {
    tracker.recordOutage(10);
    tracker.recordPeer({ version: 9, remainingMs: 2_000 });
    tracker.recordEnd(30);
};
const beRestoredAfterPeer = (tracker: RecoveryTracker): void => {
    hearFromPeerFirst(tracker);
    tracker.recordRestored(40);
};

interface Case {
    readonly name: string;
    readonly act: (tracker: RecoveryTracker) => void;
    /** Versions of a replica from which a removed row may have expired, and from which it may not. */
    readonly expired: readonly number[];
    readonly removed: readonly number[];
    readonly remainingMs: number;
}

const cases: readonly Case[] = [
    { name: "its own outage ends", act: endOwnOutage, expired: [5, 10, 29], removed: [30, 31], remainingMs: 2_300 },
    { name: "a peer notices first", act: hearFromPeerFirst, expired: [10, 19], removed: [20, 30], remainingMs: 1_500 },
    {
        name: "a peer knows an earlier one",
        act: hearOfEarlierOutage,
        expired: [10, 29],
        removed: [30],
        remainingMs: 2_300,
    },
    { name: "the store is restored", act: beRestoredAfterPeer, expired: [39], removed: [40], remainingMs: 2_300 },
];

describe("createRecoveryTracker", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());
    // Guards against endpoints that are dropped although their entry only expired, and against those that are used on
    // although they have left.
    it.each(cases)("tells expired rows from removed ones after $name", ({ act, expired, removed, remainingMs }) => {
        const tracker = createRecoveryTracker();
        act(tracker);
        expect(expired.map(tracker.mayHaveExpired)).toEqual(expired.map(() => true));
        expect(removed.map(tracker.mayHaveExpired)).toEqual(removed.map(() => false));
        expect(tracker.get()?.remainingMs).toBe(remainingMs);
        vi.advanceTimersByTime(remainingMs);
        expect(expired.map(tracker.mayHaveExpired)).toEqual(expired.map(() => false));
    });
});
