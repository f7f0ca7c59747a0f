import bunyan from "bunyan";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createLinkTracker, type LinkTracker } from "../../src/relays/model/linkTracker.js";
import { createRelayPeers } from "../../src/relays/model/relayPeers.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

interface Tracked {
    readonly tracker: LinkTracker;
    readonly relayed: [string, boolean][];
    readonly stranded: number[];
}

function createTracked(): Tracked {
    const relayed: Tracked["relayed"] = [];
    const stranded: number[] = [];
    const tracker = createLinkTracker({
        log,
        onRelayed: (address, isHanging) => relayed.push([address, isHanging]),
        onStranded: () => stranded.push(performance.now()),
    });
    return { tracker, relayed, stranded };
}

describe("createLinkTracker", () => {
    // Guards against a host that takes one lost endpoint for the loss of all paths, or does not notice that loss.
    it("takes the paths for lost once two endpoints are reached only through peers", () => {
        const { tracker, relayed, stranded } = createTracked();
        tracker.recordRelayed("a", true);
        expect([tracker.isDetoured("a"), tracker.isDetoured("b"), tracker.isStranded()]).toEqual([true, false, false]);
        tracker.recordRelayed("b", false);
        tracker.recordRelayed("b", false);
        expect(tracker.isStranded()).toBe(true);
        expect(stranded).toHaveLength(1);
        expect(relayed).toEqual([["a", true], ["b", false], ["b", false]]);
    });
    // Guards against a host that goes on through its peers after its paths are back.
    it("takes them for back with the first direct connection to such an endpoint", () => {
        const { tracker } = createTracked();
        ["a", "b", "c"].forEach(address => tracker.recordRelayed(address, true));
        tracker.recordDirect("other");
        expect(tracker.isStranded()).toBe(true);
        tracker.recordDirect("a");
        expect([tracker.isStranded(), tracker.listDetours()]).toEqual([false, []]);
    });
    // Guards against a crowd of connections through peers while endpoints have ended.
    it("limits tries through peers, until one succeeds", () => {
        const { tracker } = createTracked();
        const countAdmitted = (): number =>
            Array.from({ length: 20 }, () => tracker.admitTrial("a")).filter(Boolean).length;
        expect(countAdmitted()).toBe(4);
        vi.advanceTimersByTime(1_000);
        expect(countAdmitted()).toBe(4);
        tracker.recordRelayed("a", false);
        expect(countAdmitted()).toBe(20);
    });
    // Guards against a state without end for endpoints that have gone.
    it("forgets an endpoint that is not connected to any more", () => {
        const { tracker } = createTracked();
        tracker.recordRelayed("a", true);
        vi.advanceTimersByTime(10_000);
        expect(tracker.listDetours()).toEqual([]);
    });
});

describe("createRelayPeers", () => {
    // Guards against one peer that carries the connections of all, and against peers that have lost their paths, too.
    it("chooses the peer with the fewest connections, rather one that is known, and those that failed last", () => {
        const peers = createRelayPeers(() => ["p1", "p2", "p3"]);
        const opened = Array.from({ length: 24 }, () => {
            const peer = peers.choose(new Set()) ?? "none";
            peers.recordOpen(peer);
            return peer;
        });
        expect(["p1", "p2", "p3"].map(peer => opened.filter(each => each === peer).length)).toEqual([8, 8, 8]);
        peers.recordFailure("p1");
        const chosen = Array.from({ length: 30 }, () => peers.choose(new Set(["p2"])));
        expect(new Set(chosen)).toEqual(new Set(["p3"]));
        expect(peers.choose(new Set(["p2", "p3"]))).toBe("p1");
        expect(peers.choose(new Set(["p1", "p2", "p3"]))).toBeUndefined();
    });
    // Guards against connections that are cut by the stop of the peer that relays them.
    it("does not choose peers that are shutting down", () => {
        const serving = ["p1", "p2"];
        const peers = createRelayPeers(() => serving);
        serving.shift();
        expect([peers.choose(new Set()), peers.isServing("p1"), peers.isServing("p2")]).toEqual(["p2", false, true]);
    });
});
