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
    hasLostStore: false,
    sightings: [],
    changedAt: {},
    hosts: [],
    bookings: [],
    ...changes,
});

describe("createPeerTable", () => {
    // Guards against an old message that brings back work that has ended.
    it("drops messages that are older than one that was heard", () => {
        const table = createPeerTable("a:1");
        expect(table.accept(createState("b:1", 2, 5), 0)).toBe("heard");
        expect(table.accept(createState("b:1", 2, 4), 10)).toBe("stale");
        expect(table.accept(createState("b:1", 1, 9), 10)).toBe("stale");
        expect(table.accept(createState("b:1", 2, 6), 10)).toBe("known");
        expect(table.accept(createState("b:1", 3, 1), 20)).toBe("known");
        expect(table.accept(createState("a:1", 9, 1), 20)).toBe("stale");
    });
    // Guards against a host that is not heard after a restart, because its clock was set back.
    it("accepts a lower incarnation once the earlier run is silent", () => {
        const table = createPeerTable("a:1");
        table.accept(createState("b:1", 9, 5), 0);
        expect(table.accept(createState("b:1", 8, 1), 1_000)).toBe("stale");
        expect(table.accept(createState("b:1", 8, 2), 3_000)).toBe("heard");
    });
    it("does not count a peer that is silent, and forgets it later", () => {
        const table = createPeerTable("a:1");
        table.add(["b:1", "a:1"], 0);
        expect(table.listAll()).toEqual(["b:1"]);
        expect(table.listHeard(0)).toEqual([]);
        table.accept(createState("b:1", 1, 1), 100);
        expect(table.listHeard(200)).toEqual(["b:1"]);
        expect(table.listHeard(3_000)).toEqual([]);
        expect(table.forgetOld(30_000)).toEqual([]);
        expect(table.forgetOld(70_000)).toEqual(["b:1"]);
        expect(table.listAll()).toEqual([]);
    });
    // Guards against hosts that all leave the store to one that has lost it, or to one of a domain that is cut off.
    it("lists the peers of a failure domain, and those that have the store", () => {
        const table = createPeerTable("a:1");
        const north = toFailureDomainId("north");
        table.accept(createState("b:1", 1, 1), 0);
        table.accept(createState("c:1", 1, 1, { hasLostStore: true }), 0);
        table.accept(createState("d:1", 1, 1, { failureDomain: toFailureDomainId("south") }), 0);
        table.add(["e:1"], 0);
        expect(table.listHeardIn(north, 100)).toEqual(["b:1", "c:1"]);
        expect(table.listWithStore(north, 100)).toEqual(["b:1"]);
        expect(table.listWithStore(north, 3_000)).toEqual([]);
        expect(["b:1", "d:1", "e:1"].map(address => table.mayBeIn(north, address))).toEqual([true, false, true]);
    });
});
