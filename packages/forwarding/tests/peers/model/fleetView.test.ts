import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { createFleetView } from "../../../src/peers/model/fleetView.js";
import type { PeerState } from "../../../src/peers/model/peerState.js";
import { createPeerTable } from "../../../src/peers/model/peerTable.js";

const north = toFailureDomainId("north");
const south = toFailureDomainId("south");

/** Hosts `n1` to `nN` and `s1` to `sN`, all heard now. */
function createFleet(size: number, own: string, lost: readonly string[] = []) {
    const table = createPeerTable(own);
    for (let index = 1; index <= size; index += 1) {
        for (const failureDomain of [north, south]) {
            const address = `${failureDomain[0] ?? ""}${index}`;
            const state: PeerState = {
                address,
                failureDomain,
                incarnation: 1,
                sequence: 1,
                isLeaving: false,
                hasLostStore: lost.includes(address),
                changedAt: {},
                hosts: [],
                sightings: [],
                bookings: [],
            };
            table.accept(state, performance.now());
        }
    }
    return createFleetView(table, own, north);
}

describe("createFleetView", () => {
    it("tells all hosts of a small fleet at once, and has each follow the store", () => {
        const fleet = createFleet(3, "n3");
        expect(fleet.isSmallFleet()).toBe(true);
        expect(fleet.listNear(new Set())).toHaveLength(5);
        expect(fleet.shouldFollowStore()).toBe(true);
    });
    it("tells the own domain of a large fleet at once", () => {
        const fleet = createFleet(9, "n3");
        expect(fleet.isSmallFleet()).toBe(false);
        expect(fleet.listNear(new Set())).toHaveLength(8);
        expect(fleet.listTargets(false)).toHaveLength(8);
        expect(fleet.listTargets(true)).toHaveLength(17);
        expect(fleet.listOwnDomain()).toHaveLength(9);
    });
    // Guards against hosts that place on endpoints of their domain on which a host of another domain has work.
    it("tells another domain at once in which the host has work", () => {
        const near = createFleet(9, "n3").listNear(new Set([south, north]));
        expect(near).toHaveLength(17);
        expect(new Set(near).size).toBe(17);
    });
    // Guards against a failure domain in which no host follows the store.
    it.each([
        { own: "n1", lost: [], expected: true },
        { own: "n2", lost: [], expected: true },
        { own: "n3", lost: [], expected: false },
        { own: "n3", lost: ["n1"], expected: true },
        { own: "n3", lost: ["s1"], expected: false },
        { own: "n9", lost: ["n1", "n2", "n3"], expected: false },
    ])("has two hosts of a domain follow the store: $own, without it $lost", ({ own, lost, expected }) => {
        expect(createFleet(9, own, lost).shouldFollowStore()).toBe(expected);
    });
});
