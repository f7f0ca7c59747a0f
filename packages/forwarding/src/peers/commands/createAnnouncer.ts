/** Builds and sends a host's states and digests. */
import type { Assignment } from "../../placement/model/assignment.js";
import type { FleetView } from "../model/fleetView.js";
import type { PeerHeader } from "../model/peerState.js";
import type { PeerTable } from "../model/peerTable.js";
import { buildFleetDigest } from "../queries/buildFleetDigest.js";
import { encodeFleetDigest } from "../queries/fleetDigestCodec.js";
import { encodePeerState } from "../queries/peerStateCodec.js";
import type { PeersOptions } from "./startPeers.js";

/** Size limit, since a larger datagram is more likely to be lost. A larger message is sent without assignments. */
const MAX_DATAGRAM_BYTES = 60_000;

export interface Announcer {
    /** Sends this host's state, with a list of hosts. */
    readonly sendState: (hosts: readonly string[], targets: readonly string[], options?: StateOptions) => void;
    /** Sends a digest of the fleet. */
    readonly sendDigests: (targets: readonly string[]) => void;
}

export interface StateOptions {
    /** Whether the message carries the notices of endpoints. Defaults to `true`. */
    readonly hasNotices?: boolean;
}

export interface AnnouncerOptions {
    readonly peers: PeersOptions;
    readonly table: PeerTable;
    readonly fleet: FleetView;
    readonly getIsLeaving: () => boolean;
}

/** Creates an announcer, which numbers the messages. */
export function createAnnouncer({ peers: options, table, fleet, getIsLeaving }: AnnouncerOptions): Announcer {
    const { failureDomain, registry, socket } = options;
    const buildHeader = createHeaderBuilder(options, getIsLeaving);
    const sendState: Announcer["sendState"] = (hosts, targets, { hasNotices = true } = {}) => {
        if (targets.length === 0) {
            return;
        }
        const nowMs = performance.now();
        const state = {
            ...buildHeader(hasNotices),
            hosts,
            observations: options.getObservations(),
            settledQuery: options.getSettledQuery(),
        };
        socket.send(
            encodeWithinLimit(registry.listLocal(), assignments => encodePeerState({ ...state, assignments }, nowMs)),
            targets,
        );
    };
    const listDomainAssignments = (): readonly Assignment[] =>
        registry.listAll(performance.now()).filter(({ endpointId }) =>
            options.findDomain(endpointId) === failureDomain
        );
    const sendDigest = (
        scope: "domain" | "fleet",
        assignments: readonly Assignment[],
        targets: readonly string[],
    ): void => {
        if (targets.length === 0) {
            return;
        }
        const nowMs = performance.now();
        const observations = options.getMergedObservations(scope);
        const digest = buildFleetDigest({ header: buildHeader(true), fleet, table, scope, observations, nowMs });
        socket.send(
            encodeWithinLimit(assignments, fitting => encodeFleetDigest({ ...digest, assignments: fitting }, nowMs)),
            targets,
        );
    };
    return {
        sendState,
        sendDigests: targets => {
            const isLocal = (peer: string): boolean => table.get(peer)?.failureDomain === failureDomain;
            const coordinators = fleet.isCoordinator() ? fleet.listRemoteCoordinators() : [];
            const remote = targets.filter(peer => !isLocal(peer));
            sendDigest("fleet", [], targets.filter(isLocal));
            sendDigest("domain", listDomainAssignments(), remote.filter(peer => coordinators.includes(peer)));
            sendDigest("domain", [], remote.filter(peer => !coordinators.includes(peer)));
        },
    };
}

/** Creates the function that builds the header of the next message. */
function createHeaderBuilder(options: PeersOptions, getIsLeaving: () => boolean): (hasNotices: boolean) => PeerHeader {
    const { address, failureDomain, capacity } = options;
    const incarnation = Date.now();
    let sequence = 0;
    return hasNotices => {
        sequence += 1;
        return {
            address,
            failureDomain,
            incarnation,
            sequence,
            capacity,
            isLeaving: getIsLeaving(),
            isStoreUnavailable: options.isStoreUnavailable(),
            lastChangeVersions: options.getLastChangeVersions(),
            evidence: options.getEvidence(),
            ...(hasNotices ? { notices: options.getNotices() } : {}),
        };
    };
}

/** Encodes a message with the assignments, or without them if it is too large. */
function encodeWithinLimit<T>(assignments: readonly T[], encode: (assignments: readonly T[]) => Buffer): Buffer {
    const data = encode(assignments);
    return data.length <= MAX_DATAGRAM_BYTES ? data : encode([]);
}
