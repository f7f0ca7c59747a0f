import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { PeerState } from "../../../src/peers/model/peerState.js";
import { createPeerTable } from "../../../src/peers/model/peerTable.js";

const createState = (address: string, incarnation: number, sequence: number, changes: Partial<PeerState> = {}) => ({
    address,
    incarnation,
    sequence,
    failureDomain: toFailureDomainId("north"),
    isLeaving: false,
    isStoreUnavailable: false,
    observations: [],
    lastChangeVersions: {},
    hosts: [],
    assignments: [],
    ...changes,
});

describe("createPeerTable", () => {
    // Guards against a delayed datagram that restores assignments that have ended.
    it("drops messages that are older than one that was received", () => {
        const table = createPeerTable("a:1");
        expect(table.accept(createState("b:1", 2, 5), 0)).toBe("joined");
        expect(table.accept(createState("b:1", 2, 4), 10)).toBe("stale");
        expect(table.accept(createState("b:1", 1, 9), 10)).toBe("stale");
        expect(table.accept(createState("b:1", 2, 6), 10)).toBe("known");
        expect(table.accept(createState("b:1", 3, 1), 20)).toBe("known");
        expect(table.accept(createState("a:1", 9, 1), 20)).toBe("stale");
    });
    // Guards against a restarted host whose messages are dropped, because its clock was set back.
    it("accepts a lower incarnation once the earlier run has timed out", () => {
        const table = createPeerTable("a:1");
        table.accept(createState("b:1", 9, 5), 0);
        expect(table.accept(createState("b:1", 8, 1), 1_000)).toBe("stale");
        expect(table.accept(createState("b:1", 8, 2), 3_000)).toBe("joined");
    });
    it("does not count a peer that has timed out, and evicts it later", () => {
        const table = createPeerTable("a:1");
        table.add(["b:1", "a:1"], 0);
        expect(table.listAll()).toEqual(["b:1"]);
        expect(table.listAlive(0)).toEqual([]);
        table.accept(createState("b:1", 1, 1), 100);
        expect(table.listAlive(200)).toEqual(["b:1"]);
        expect(table.listAlive(3_000)).toEqual([]);
        expect(table.evictExpired(30_000)).toEqual([]);
        expect(table.evictExpired(70_000)).toEqual(["b:1"]);
        expect(table.listAll()).toEqual([]);
    });
    // Guards against hosts that all rely on a peer that cannot reach the store, or on one in a partitioned domain.
    it("lists the live peers of a failure domain, and those with access to the store", () => {
        const table = createPeerTable("a:1");
        const north = toFailureDomainId("north");
        table.accept(createState("b:1", 1, 1), 0);
        table.accept(createState("c:1", 1, 1, { isStoreUnavailable: true }), 0);
        table.accept(createState("d:1", 1, 1, { failureDomain: toFailureDomainId("south") }), 0);
        table.add(["e:1"], 0);
        expect(table.listAliveIn(north, 100)).toEqual(["b:1", "c:1"]);
        expect(table.listWithStoreAccess(north, 100)).toEqual(["b:1"]);
        expect(table.listWithStoreAccess(north, 3_000)).toEqual([]);
        expect(["b:1", "d:1", "e:1"].map(address => table.canBeIn(north, address))).toEqual([true, false, true]);
    });
});
