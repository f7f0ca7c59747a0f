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
 * Creates the view of one of the live hosts `n001`, `n002`… and `s001`, `s002`…; those in `withoutStore` cannot reach the
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
            const address = `${prefix}${String(index).padStart(3, "0")}`;
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
    it("notifies all hosts of a small fleet", () => {
        const fleet = createFleet(3, "n003");
        expect(fleet.isSmallFleet()).toBe(true);
        expect(fleet.listImmediateTargets(new Set())).toHaveLength(5);
        expect(fleet.listHeartbeatTargets()).toHaveLength(5);
    });
    // Guards against messages whose number grows with the fleet.
    it.each([20, 40, 170])("sends to the two coordinators of the domain only, with %i hosts a domain", size => {
        const fleet = createFleet(size, "n009");
        expect(fleet.isSmallFleet()).toBe(false);
        expect(fleet.listHeartbeatTargets()).toHaveLength(2);
        expect(fleet.listImmediateTargets(new Set([north]))).toHaveLength(2);
        expect(fleet.listImmediateTargets(new Set([north, south]))).toHaveLength(4);
    });
    // Guards against hosts that ask different coordinators, which then do not know of each other's placements.
    it("ranks coordinators alike on all hosts, those with more capacity first", () => {
        for (const host of ["n001", "n004", "n009"]) {
            const fleet = createFleet(20, host, { large: ["n004", "n007"] });
            expect(fleet.listCoordinators(north)).toEqual(["n004", "n007"]);
            expect(fleet.listCoordinators(south)).toEqual(["s001", "s002"]);
            expect(fleet.isCoordinator()).toBe(host === "n004");
        }
    });
    // Guards against a domain that waits for a dead coordinator until it counts as dead, and against one that is passed
    // over although it answers.
    it("passes over a coordinator that does not answer heartbeats, and returns to it once it does", () => {
        const fleet = createFleet(20, "n009");
        fleet.recordSent(fleet.listHeartbeatTargets());
        vi.advanceTimersByTime(1_000);
        fleet.table.accept(describeHost("n002", 2), performance.now());
        vi.advanceTimersByTime(700);
        expect(fleet.listCoordinators(north)).toEqual(["n002", "n003"]);
        expect(fleet.listHeartbeatTargets()).toEqual(["n002", "n003", "n001"]);
        fleet.table.accept(describeHost("n001", 2), performance.now());
        expect(fleet.listCoordinators(north)).toEqual(["n001", "n002"]);
    });
    it("passes over a coordinator that is shutting down", () => {
        const fleet = createFleet(20, "n009");
        fleet.table.accept(describeHost("n001", 2, { isLeaving: true }), performance.now());
        expect(fleet.listCoordinators(north)).toEqual(["n002", "n003"]);
    });
    // Guards against domains that lose each other for good in a partition.
    it("sends digests to the last known hosts of a domain without live ones", () => {
        const fleet = createFleet(20, "n001");
        vi.advanceTimersByTime(3_000);
        for (let index = 2; index <= 20; index += 1) {
            fleet.table.accept(describeHost(`n${String(index).padStart(3, "0")}`, 2), performance.now());
        }
        expect(fleet.listRemoteCoordinators()).toEqual([]);
        expect(fleet.listRemoteTargets()).toEqual(["s001", "s002", "s003", "s004"]);
    });
    it("counts the hosts of other domains that digests announce", () => {
        const fleet = createFleet(2, "n001");
        expect(fleet.isSmallFleet()).toBe(true);
        fleet.recordDigest({
            ...describeHost("s001", 2),
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
        const alone = createFleet(0, "n009", { isSeed: false });
        expect(alone.isConnecting()).toBe(true);
        expect(alone.shouldFollowStore()).toBe(false);
        vi.advanceTimersByTime(1_600);
        expect(alone.shouldFollowStore()).toBe(true);
        const contacted = createFleet(2, "n002", { isSeed: false });
        expect(contacted.shouldFollowStore()).toBe(false);
        vi.advanceTimersByTime(500);
        expect(contacted.shouldFollowStore()).toBe(true);
        expect(createFleet(20, "n009", { isSeed: false }).isConnecting()).toBe(false);
    });
    // Guards against a failure domain in which no host follows the store.
    it.each([
        { localHost: "n001", withoutStore: [], expected: true },
        { localHost: "n002", withoutStore: [], expected: true },
        { localHost: "n003", withoutStore: [], expected: false },
        { localHost: "n003", withoutStore: ["n001"], expected: true },
        { localHost: "n003", withoutStore: ["s001"], expected: false },
        { localHost: "n009", withoutStore: ["n001"], expected: false },
    ])(
        "has two hosts of a domain follow the store: $localHost, without access $withoutStore",
        ({ localHost, withoutStore, expected }) => {
            expect(createFleet(20, localHost, { withoutStore }).shouldFollowStore()).toBe(expected);
        },
    );
    // Guards against store calls that grow with the fleet, and against a fleet with a single follower.
    // Guards against changes that arrive later than the platform expects, because the hosts that follow the store have
    // stopped without a word and still count as alive.
    it.each([3, 40])("follows the store once the followers do not answer heartbeats, with %i hosts a domain", size => {
        const fleet = createFleet(size, "n003");
        fleet.recordSent(["n001", "n002"]);
        expect(fleet.shouldFollowStore()).toBe(false);
        vi.advanceTimersByTime(1_601);
        ["n003", "s001"].forEach(address => fleet.table.accept(describeHost(address, 2), performance.now()));
        expect(fleet.shouldFollowStore()).toBe(true);
    });
    it("has one host of a domain follow the store if there are three domains and many hosts", () => {
        const third = toFailureDomainId("west");
        for (const [host, expected] of [["n001", true], ["n002", false]] as const) {
            const fleet = createFleet(20, host);
            expect(fleet.shouldFollowStore()).toBe(true);
            fleet.table.accept(describeHost("w001", 1, { failureDomain: third }), performance.now());
            expect(fleet.shouldFollowStore()).toBe(expected);
        }
        const small = createFleet(4, "n002");
        small.table.accept(describeHost("w001", 1, { failureDomain: third }), performance.now());
        expect(small.shouldFollowStore()).toBe(true);
    });
});
