import { describe, expect, it } from "vitest";
import { createPeerTable } from "../../../src/peers/model/peerTable.js";

const createState = (address: string, incarnation: number, sequence: number) => ({
    address,
    incarnation,
    sequence,
    isLeaving: false,
    changedAt: {},
    hosts: [],
    bookings: [],
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
});
