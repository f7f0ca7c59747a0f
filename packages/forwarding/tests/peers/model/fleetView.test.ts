import { toFailureDomainId } from "@currantrill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createFleetView, type FleetView } from "../../../src/peers/model/fleetView.js";
import type { PeerHeader } from "../../../src/peers/model/peerState.js";
import { createPeerTable, type PeerTable } from "../../../src/peers/model/peerTable.js";

const north = toFailureDomainId("north");
const south = toFailureDomainId("south");

const describeHost = (address: string, sequence: number, changes: Partial<PeerHeader> = {}): PeerHeader => ({
    address,
    failureDomain: address.startsWith("n") ? north : south,
    incarnation: 1,
    sequence,
    capacity: 1,
    isLeaving: false,
    isStoreUnavailable: false,
    lastChangeVersions: {},
    ...changes,
});

interface Fleet extends FleetView {
    readonly table: PeerTable;
}

/**
 * Creates the view of one of the live hosts `n1` to `nN` and `s1` to `sN`; those in `withoutStore` cannot reach the
 * store, those in `large` have twice the capacity.
 */
function createFleet(
    size: number,
    localHost: string,
    { withoutStore = [], large = [], isSeed = true }: {
        readonly withoutStore?: readonly string[];
        readonly large?: readonly string[];
        readonly isSeed?: boolean;
    } = {},
): Fleet {
    const table = createPeerTable(localHost);
    for (let index = 1; index <= size; index += 1) {
        for (const prefix of ["n", "s"]) {
            const address = `${prefix}${index}`;
            const header = describeHost(address, 1, {
                isStoreUnavailable: withoutStore.includes(address),
                capacity: large.includes(address) ? 2 : 1,
            });
            table.accept(header, performance.now());
        }
    }
    const capacity = large.includes(localHost) ? 2 : 1;
    const view = createFleetView({
        table,
        address: localHost,
        failureDomain: north,
        capacity,
        isSeed,
        getIsLeaving: () => false,
    });
    return { ...view, table };
}

beforeEach(() => vi.useFakeTimers({ toFake: ["performance"] }));
afterEach(() => vi.useRealTimers());

describe("createFleetView", () => {
    it("notifies all hosts of a small fleet, and has each follow the store", () => {
        const fleet = createFleet(3, "n3");
        expect(fleet.isSmallFleet()).toBe(true);
        expect(fleet.listImmediateTargets(new Set())).toHaveLength(5);
        expect(fleet.listHeartbeatTargets()).toHaveLength(5);
        expect(fleet.shouldFollowStore()).toBe(true);
    });
    // Guards against messages whose number grows with the fleet.
    it.each([9, 40, 170])("sends to the two coordinators of the domain only, with %i hosts a domain", size => {
        const fleet = createFleet(size, "n9");
        expect(fleet.isSmallFleet()).toBe(false);
        expect(fleet.listHeartbeatTargets()).toHaveLength(2);
        expect(fleet.listImmediateTargets(new Set([north]))).toHaveLength(2);
        expect(fleet.listImmediateTargets(new Set([north, south]))).toHaveLength(4);
    });
    // Guards against hosts that ask different coordinators, which then do not know of each other's placements.
    it("ranks coordinators alike on all hosts, those with more capacity first", () => {
        for (const host of ["n1", "n4", "n9"]) {
            const fleet = createFleet(9, host, { large: ["n4", "n7"] });
            expect(fleet.listCoordinators(north)).toEqual(["n4", "n7"]);
            expect(fleet.listCoordinators(south)).toEqual(["s1", "s2"]);
            expect(fleet.isCoordinator()).toBe(host === "n4");
        }
    });
    // Guards against a domain that waits for a dead coordinator until it counts as dead, and against one that is passed
    // over although it answers.
    it("passes over a coordinator that does not answer heartbeats, and returns to it once it does", () => {
        const fleet = createFleet(9, "n9");
        fleet.recordSent(fleet.listHeartbeatTargets());
        vi.advanceTimersByTime(1_000);
        fleet.table.accept(describeHost("n2", 2), performance.now());
        vi.advanceTimersByTime(700);
        expect(fleet.listCoordinators(north)).toEqual(["n2", "n3"]);
        expect(fleet.listHeartbeatTargets()).toEqual(["n2", "n3", "n1"]);
        fleet.table.accept(describeHost("n1", 2), performance.now());
        expect(fleet.listCoordinators(north)).toEqual(["n1", "n2"]);
    });
    it("passes over a coordinator that is shutting down", () => {
        const fleet = createFleet(9, "n9");
        fleet.table.accept(describeHost("n1", 2, { isLeaving: true }), performance.now());
        expect(fleet.listCoordinators(north)).toEqual(["n2", "n3"]);
    });
    // Guards against domains that lose each other for good in a partition.
    it("sends digests to the last known hosts of a domain without live ones", () => {
        const fleet = createFleet(9, "n1");
        vi.advanceTimersByTime(3_000);
        for (let index = 2; index <= 9; index += 1) {
            fleet.table.accept(describeHost(`n${index}`, 2), performance.now());
        }
        expect(fleet.listRemoteCoordinators()).toEqual([]);
        expect(fleet.listRemoteTargets()).toEqual(["s1", "s2", "s3", "s4"]);
    });
    it("counts the hosts of other domains that digests announce", () => {
        const fleet = createFleet(2, "n1");
        expect(fleet.isSmallFleet()).toBe(true);
        fleet.recordDigest({
            ...describeHost("s1", 2),
            hostCounts: { north: 4, south: 40 },
            members: [],
            observations: [],
            assignments: [],
        });
        expect(fleet.countHosts()).toBe(42);
        expect(fleet.isSmallFleet()).toBe(false);
        vi.advanceTimersByTime(5_000);
        expect(fleet.countHosts()).toBe(1);
    });
    // Guards against a read of all tables by every host of a large fleet that starts.
    it("does not follow the store at its start until it knows its peers, for a limited time", () => {
        const alone = createFleet(0, "n9", { isSeed: false });
        expect(alone.isConnecting()).toBe(true);
        expect(alone.shouldFollowStore()).toBe(false);
        vi.advanceTimersByTime(1_600);
        expect(alone.shouldFollowStore()).toBe(true);
        const contacted = createFleet(2, "n2", { isSeed: false });
        expect(contacted.shouldFollowStore()).toBe(false);
        vi.advanceTimersByTime(500);
        expect(contacted.shouldFollowStore()).toBe(true);
        expect(createFleet(9, "n9", { isSeed: false }).isConnecting()).toBe(false);
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
            expect(createFleet(9, localHost, { withoutStore }).shouldFollowStore()).toBe(expected);
        },
    );
});
