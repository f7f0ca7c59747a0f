import { toFailureDomainId } from "@currantrill/protocol";
import bunyan from "bunyan";
import { beforeEach, describe, expect, it } from "vitest";
import { handlePeerMessages, type Subscription } from "../../../src/peers/commands/handlePeerMessages.js";
import type { MessageHandler } from "../../../src/peers/commands/openPeerSocket.js";
import type { PeersOptions } from "../../../src/peers/commands/startPeers.js";
import { createFleetView } from "../../../src/peers/model/fleetView.js";
import type { PeerState } from "../../../src/peers/model/peerState.js";
import { createPeerTable } from "../../../src/peers/model/peerTable.js";
import { decodeMessage, type MessageKind } from "../../../src/peers/queries/messageCodec.js";
import { encodePeerState } from "../../../src/peers/queries/peerStateCodec.js";
import { createAssignmentRegistry } from "../../../src/placement/model/assignmentRegistry.js";
import { createAssignment } from "../../engineFixture.js";

const failureDomain = toFailureDomainId("north");
const state: PeerState = {
    address: "b:1",
    failureDomain,
    incarnation: 1,
    sequence: 1,
    capacity: 1,
    isLeaving: false,
    isStoreUnavailable: false,
    lastChangeVersions: {},
    hosts: [],
    observations: [],
    settledQuery: 0,
    assignments: [createAssignment()],
};

const registry = createAssignmentRegistry(() => undefined);
const subscriptions = new Map<string, Subscription>();
const answered: string[] = [];
let receive: (state: PeerState) => void;

beforeEach(() => {
    registry.removePeer("b:1");
    subscriptions.clear();
    answered.splice(0);
    const handlers = new Map<MessageKind, MessageHandler>();
    const table = createPeerTable("a:1");
    handlePeerMessages({
        peers: {
            address: "a:1",
            failureDomain,
            registry,
            log: bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 }),
            socket: {
                setHandler: (kind: MessageKind, handle: MessageHandler) => handlers.set(kind, handle),
                send: () => undefined,
            },
            onState: () => undefined,
        } satisfies Partial<Record<keyof PeersOptions, unknown>> as unknown as PeersOptions,
        table,
        fleet: createFleetView({
            table,
            address: "a:1",
            failureDomain,
            capacity: 1,
            isSeed: true,
            getIsLeaving: () => false,
        }),
        announcer: {
            sendState: (_hosts, targets) => void answered.push(...targets),
            sendDigests: targets => void answered.push(...targets),
        },
        subscriptions,
    });
    receive = message => {
        const nowMs = performance.now();
        handlers.get("state")?.(decodeMessage(encodePeerState(message, nowMs))?.fields ?? [], nowMs);
    };
});

describe("handlePeerMessages", () => {
    // Guards against a host that waits at its start until the next heartbeat of a peer.
    it("answers a host at once that has joined, and only then", () => {
        receive(state);
        receive({ ...state, sequence: 2 });
        expect(answered).toEqual(["b:1"]);
        expect(registry.listAll(performance.now())).toHaveLength(1);
    });
    // Guards against endpoints that are overrun because the work of a host in its shutdown is not counted: it serves
    // requests for seconds after it has announced that it is leaving. What has ended must not keep endpoints booked.
    it.each([
        { name: "counts the work of a host that is leaving", assignments: [createAssignment()], counted: 1 },
        { name: "counts no work of a host that is leaving once it has ended", assignments: [], counted: 0 },
    ])("$name", ({ assignments, counted }) => {
        receive(state);
        receive({ ...state, sequence: 2, isLeaving: true, assignments });
        expect(registry.listAll(performance.now())).toHaveLength(counted);
    });
    // Guards against a host that serves by outdated tables during its shutdown, because it gets no digests.
    it("keeps the subscription of a host that is leaving, and does not answer it as one that has joined", () => {
        receive({ ...state, isLeaving: true });
        expect([...subscriptions.keys()]).toEqual(["b:1"]);
        expect(answered).toEqual([]);
    });
    // Guards against assignments of a host that has left without its last message, which would keep its endpoints booked.
    it("ignores the work of a host that has been silent for 3 s", () => {
        receive({ ...state, isLeaving: true });
        expect(registry.listAll(performance.now() + 2_900)).toHaveLength(1);
        expect(registry.listAll(performance.now() + 3_000)).toEqual([]);
    });
    // Guards against a repeated or delayed datagram that restores what has ended.
    it("ignores a message that is older than the last one", () => {
        receive({ ...state, sequence: 5, assignments: [] });
        receive({ ...state, sequence: 4 });
        expect(registry.listAll(performance.now())).toEqual([]);
    });
});
