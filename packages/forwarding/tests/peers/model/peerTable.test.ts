import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { PeerHeader } from "../../../src/peers/model/peerState.js";
import { createPeerTable, type PeerTable } from "../../../src/peers/model/peerTable.js";

const createState = (address: string, incarnation: number, sequence: number, changes: Partial<PeerHeader> = {}) => ({
    address,
    incarnation,
    sequence,
    failureDomain: toFailureDomainId("north"),
    isLeaving: false,
    capacity: 1,
    isStoreUnavailable: false,
    lastChangeVersions: {},
    ...changes,
});

const listAlive = (table: PeerTable, nowMs: number): readonly string[] =>
    table.listAlive(nowMs).map(peer => peer.address);

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
        expect(table.listAll().map(peer => peer.address)).toEqual(["b:1"]);
        expect(listAlive(table, 0)).toEqual([]);
        table.accept(createState("b:1", 1, 1), 100);
        expect(listAlive(table, 200)).toEqual(["b:1"]);
        expect(listAlive(table, 3_000)).toEqual([]);
        expect(table.evictExpired(30_000)).toEqual([]);
        expect(table.evictExpired(70_000)).toEqual(["b:1"]);
        expect(table.listAll()).toEqual([]);
    });
    // Guards against a host that counts as dead because only other hosts receive its messages.
    it("counts a peer as alive that a digest lists, and as old as the digest says", () => {
        const table = createPeerTable("a:1");
        const member = {
            address: "b:1",
            failureDomain: toFailureDomainId("north"),
            capacity: 2,
            isStoreUnavailable: true,
            ageMs: 1_000,
        };
        table.acceptMembers([member, { ...member, address: "a:1" }], 5_000);
        expect(listAlive(table, 6_000)).toEqual(["b:1"]);
        expect(table.get("b:1")).toMatchObject({ capacity: 2, isStoreUnavailable: true, lastMessageAtMs: -Infinity });
        expect(listAlive(table, 6_600)).toEqual([]);
    });
    // Guards against a digest that is older than the peer's own message, and a dead host that digests keep alive.
    it("ignores a digest that is older than the last sign of life", () => {
        const table = createPeerTable("a:1");
        table.accept(createState("b:1", 1, 1), 5_000);
        const member = {
            address: "b:1",
            failureDomain: toFailureDomainId("north"),
            capacity: 1,
            isStoreUnavailable: true,
            ageMs: 400,
        };
        table.acceptMembers([member], 5_200);
        expect(table.get("b:1")?.isStoreUnavailable).toBe(false);
        table.acceptMembers([{ ...member, ageMs: 2_000 }], 7_000);
        expect(listAlive(table, 7_600)).toEqual([]);
    });
});
