/** Connects a host with the others of its fleet: messages, copies of tables, and placement by coordinators. */
import type { AddressBinder } from "@currantrill/lifecycle";
import { readClocks } from "@currantrill/protocol";
import { type Coordination, startCoordination } from "../coordination/commands/startCoordination.js";
import type { EndpointObservation } from "../endpoints/model/endpointObservation.js";
import { listEndpointObservations } from "../endpoints/queries/listEndpointObservations.js";
import { mergeObservations } from "../endpoints/queries/mergeObservations.js";
import type { ForwardingContext } from "../model/forwardingContext.js";
import { listNoticeReports } from "../notices/queries/noticeCodec.js";
import { openPeerSocket, type PeerSocket } from "../peers/commands/openPeerSocket.js";
import { type Peers, startPeers } from "../peers/commands/startPeers.js";
import { startTableSynchronization, type TableSynchronization } from "../peers/commands/synchronizeTables.js";
import type { PeerHeader } from "../peers/model/peerState.js";
import { type Permits, startPermits } from "../permits/commands/startPermits.js";
import type { SharedTable } from "../replicas/model/sharedTable.js";
import { adoptNotice } from "../warmup/commands/recordNotice.js";
import { createServerGuard } from "./createServerGuard.js";

export interface FleetConnection {
    readonly peers: Peers;
    readonly placePrompt: Coordination["placePrompt"];
    readonly permits: Permits;
    /** Returns for how long peers have known of a change that this host does not have, in milliseconds by table. */
    readonly getBehindMs: TableSynchronization["getBehindMs"];
    readonly close: () => Promise<void>;
}

/** Connects the host. Rejects if `bindAddress` gives up the peer address. */
export async function connectFleet(
    context: ForwardingContext,
    sharedTables: ReadonlyMap<string, SharedTable>,
    isStoreUnavailable: () => boolean,
    bindAddress: AddressBinder,
): Promise<FleetConnection> {
    const { log, metrics } = context;
    const address = context.settings.listen.peers;
    const synchronization = await bindAddress(
        "peers",
        address,
        () =>
            startTableSynchronization(address, sharedTables, log, {
                onFetch: outcome => metrics.tableFetches.inc({ outcome }),
                ...createServerGuard(context, "peers"),
                handleTunnel: context.links.relays.handleTunnel,
            }),
    );
    const socket = await bindAddress(
        "peers",
        address,
        () => openPeerSocket({ address, log, onDatagram: direction => metrics.datagrams.inc({ direction }) }),
    );
    const peers = startHostPeers({
        context,
        socket,
        isStoreUnavailable,
        synchronization,
        getSettledQuery: () => coordination.getSettledQuery(),
    });
    const { directory } = context;
    const hasSeeds = context.settings.seeds.some(seed => seed !== address);
    const permits = startPermits({ directory, socket, fleet: peers.fleet, metrics, address, hasSeeds });
    const coordination = startCoordination({ context, socket, fleet: peers.fleet, address });
    return {
        peers,
        placePrompt: coordination.placePrompt,
        permits,
        getBehindMs: synchronization.getBehindMs,
        close: async () => {
            peers.close();
            coordination.close();
            permits.close();
            socket.close();
            await synchronization.close();
        },
    };
}

interface HostPeersOptions {
    readonly context: ForwardingContext;
    readonly socket: PeerSocket;
    readonly isStoreUnavailable: () => boolean;
    readonly synchronization: TableSynchronization;
    readonly getSettledQuery: () => number;
}

/** Prefix of the source of observations that a failure domain's digest carries. */
const DOMAIN_SOURCE_PREFIX = "domain:";

function startHostPeers(options: HostPeersOptions): Peers {
    const { context, synchronization } = options;
    const { settings, directory, assignmentRegistry: registry, log, peerObservations: observations } = context;
    // What a host without paths of its own observes says nothing about the endpoints.
    const getObservations = (): readonly EndpointObservation[] =>
        context.links.isStranded()
            ? []
            : listEndpointObservations(directory, context.evacuations.isEvacuated, performance.now());
    const mergeEvidence = ({ evidence }: PeerHeader): void => {
        if (evidence !== undefined) {
            context.quarantine.merge(evidence, performance.now());
        }
    };
    const mergeNotices = ({ notices = [] }: PeerHeader): void => {
        const now = readClocks();
        for (const notice of notices) {
            const endpoint = directory.get(notice.endpointId);
            if (endpoint?.entry.processStartedAtMs === notice.processStartedAtMs) {
                adoptNotice(endpoint, notice, now);
            }
        }
    };
    const peers: Peers = startPeers({
        socket: options.socket,
        address: settings.listen.peers,
        failureDomain: directory.localFailureDomain,
        capacity: settings.processor.cores * settings.processor.share,
        seeds: settings.seeds,
        registry,
        log,
        findDomain: id => directory.get(id)?.entry.failureDomain,
        getLastChangeVersions: synchronization.getLastChangeVersions,
        getObservations,
        getMergedObservations: scope =>
            mergeObservations(
                getObservations(),
                observations.summarize(
                    performance.now(),
                    source => scope === "fleet" || !source.startsWith(DOMAIN_SOURCE_PREFIX),
                ),
            ),
        getEvidence: () => context.quarantine.share(performance.now()),
        getNotices: () => listNoticeReports(directory, readClocks()),
        isStoreUnavailable: options.isStoreUnavailable,
        getSettledQuery: options.getSettledQuery,
        onState: state => {
            synchronization.synchronizeWith(state.address, state.lastChangeVersions);
            mergeEvidence(state);
            mergeNotices(state);
            observations.setSource(state.address, state.observations, performance.now());
        },
        onDigest: digest => {
            synchronization.synchronizeWith(digest.address, digest.lastChangeVersions);
            mergeEvidence(digest);
            mergeNotices(digest);
            // A coordinator receives the states from which another one of its domain has made its digest.
            const isKnown = digest.failureDomain === directory.localFailureDomain && peers.fleet.isCoordinator();
            observations.setSource(
                `${DOMAIN_SOURCE_PREFIX}${digest.failureDomain}`,
                isKnown ? [] : digest.observations,
                performance.now(),
            );
        },
    });
    return peers;
}
