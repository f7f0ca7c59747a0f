import { toFailureDomainId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { createFleetView } from "../../../src/peers/model/fleetView.js";
import type { PeerState } from "../../../src/peers/model/peerState.js";
import { createPeerTable } from "../../../src/peers/model/peerTable.js";

const north = toFailureDomainId("north");
const south = toFailureDomainId("south");

/**
 * Creates the view of one of the live hosts `n1` to `nN` and `s1` to `sN`; those in `withoutStore` cannot reach the
 * store.
 */
function createFleet(size: number, localHost: string, withoutStore: readonly string[] = []) {
    const table = createPeerTable(localHost);
    for (let index = 1; index <= size; index += 1) {
        for (const failureDomain of [north, south]) {
            const address = `${failureDomain[0] ?? ""}${index}`;
            const state: PeerState = {
                address,
                failureDomain,
                incarnation: 1,
                sequence: 1,
                isLeaving: false,
                isStoreUnavailable: withoutStore.includes(address),
                lastChangeVersions: {},
                hosts: [],
                observations: [],
                assignments: [],
            };
            table.accept(state, performance.now());
        }
    }
    return createFleetView(table, localHost, north);
}

describe("createFleetView", () => {
    it("notifies all hosts of a small fleet at once, and has each follow the store", () => {
        const fleet = createFleet(3, "n3");
        expect(fleet.isSmallFleet()).toBe(true);
        expect(fleet.listImmediateTargets(new Set())).toHaveLength(5);
        expect(fleet.shouldFollowStore()).toBe(true);
    });
    it("notifies the local failure domain of a large fleet at once", () => {
        const fleet = createFleet(9, "n3");
        expect(fleet.isSmallFleet()).toBe(false);
        expect(fleet.listImmediateTargets(new Set())).toHaveLength(8);
        expect(fleet.listHeartbeatTargets(false)).toHaveLength(8);
        expect(fleet.listHeartbeatTargets(true)).toHaveLength(17);
        expect(fleet.listLocalDomain()).toHaveLength(9);
    });
    // Guards against hosts that place work on endpoints to which a host of another domain has just assigned work.
    it("notifies another failure domain at once if the host has assignments there", () => {
        const targets = createFleet(9, "n3").listImmediateTargets(new Set([south, north]));
        expect(targets).toHaveLength(17);
        expect(new Set(targets).size).toBe(17);
    });
    // Guards against a failure domain in which no host follows the store.
    it.each([
        { localHost: "n1", withoutStore: [], expected: true },
        { localHost: "n2", withoutStore: [], expected: true },
        { localHost: "n3", withoutStore: [], expected: false },
        { localHost: "n3", withoutStore: ["n1"], expected: true },
        { localHost: "n3", withoutStore: ["s1"], expected: false },
        { localHost: "n9", withoutStore: ["n1", "n2", "n3"], expected: false },
    ])(
        "has two hosts of a domain follow the store: $localHost, without access $withoutStore",
        ({ localHost, withoutStore, expected }) => {
            expect(createFleet(9, localHost, withoutStore).shouldFollowStore()).toBe(expected);
        },
    );
});
