/** Paths of a host to its endpoints: direct ones, and those through peers. */
import { createThrottledLog } from "@currantrill/logging";
import type Logger from "bunyan";
import type { SocketConnector } from "../../endpoints/commands/connectSocket.js";
import type { EndpointDirectory } from "../../endpoints/model/endpointDirectory.js";
import type { EndpointConnector } from "../../endpoints/model/endpointSocket.js";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import { createLinkTracker } from "../model/linkTracker.js";
import { createRelayPeers } from "../model/relayPeers.js";
import { createRelayedConnector } from "./createRelayedConnector.js";
import { createRelayServer, type RelayServer } from "./createRelayServer.js";
import { openRelay } from "./openRelay.js";

/** Interval at which a host that reaches endpoints only through peers tries a direct connection. */
const DIRECT_CHECK_MS = 400;
/** While endpoints have ended, no peer connects to them either. */
const FAILURE_LOG_INTERVAL_MS = 1_000;
/** Endpoints that are tried then. One alone may have ended. */
const DIRECT_CHECKS = 2;

export interface EndpointLinksOptions {
    readonly log: Logger;
    readonly metrics: ForwardingMetrics;
    readonly connectDirect: SocketConnector;
    readonly getDirectory: () => EndpointDirectory;
    /** Returns the addresses of live peers that are not shutting down. */
    readonly listServing: () => readonly string[];
    readonly isStopping: () => boolean;
}

export interface EndpointLinks {
    readonly connect: EndpointConnector;
    /** Returns whether an idle connection may be reused, by the peer that relays it. */
    readonly isReusable: (relay: string | undefined) => boolean;
    /** Returns whether the host has lost its own paths to endpoints. */
    readonly isStranded: () => boolean;
    readonly countDetours: () => number;
    /** Relays connections of peers. */
    readonly relays: RelayServer;
    readonly close: () => void;
}

export function createEndpointLinks(options: EndpointLinksOptions): EndpointLinks {
    const { log, metrics, connectDirect, getDirectory, listServing, isStopping } = options;
    const peers = createRelayPeers(listServing);
    const logFailure = createThrottledLog({
        intervalMs: FAILURE_LOG_INTERVAL_MS,
        write: (fields, count) => log.info({ ...fields, count }, "links: peer did not connect"),
    });
    const tracker = createLinkTracker({
        log,
        onRelayed: (address, isHanging) => getDirectory().findByAddress(address)?.pool.discardDirect(isHanging),
        onStranded: () => checkDirectConnections(getDirectory(), connect),
    });
    const connect = createRelayedConnector({
        connectDirect,
        openRelay,
        tracker,
        peers,
        onConnected: () => metrics.relayedConnections.inc({ role: "opened", outcome: "connected" }),
        onFailed: (peer, error) => {
            metrics.relayedConnections.inc({ role: "opened", outcome: "failed" });
            logFailure({ peer, err: error });
        },
    });
    const relays = createRelayServer({
        connectDirect,
        isKnownAddress: address => getDirectory().findByAddress(address) !== undefined,
        isStopping,
        isDetoured: address => tracker.isStranded() || tracker.isDetoured(address),
        onRelay: outcome => metrics.relayedConnections.inc({ role: "served", outcome }),
    });
    const timer = setInterval(() => {
        for (const address of selectRandom(tracker.listDetours(), DIRECT_CHECKS)) {
            connectDirect(address).connected.then(socket => {
                socket.destroy();
                tracker.recordDirect(address);
            }, () => {
                // The path is still lost, or the endpoint has ended: peers go on being asked.
            });
        }
    }, DIRECT_CHECK_MS);
    return {
        connect,
        isReusable: relay => relay === undefined || peers.isServing(relay) && tracker.listDetours().length > 0,
        isStranded: tracker.isStranded,
        countDetours: () => tracker.listDetours().length,
        relays,
        close: () => clearInterval(timer),
    };
}

/**
 * Closes idle direct connections, and opens a connection to each endpoint with requests on silent ones: if it comes about
 * only through a peer, those are closed too, so that their requests go on elsewhere.
 */
function checkDirectConnections(directory: EndpointDirectory, connect: EndpointConnector): void {
    for (const { entry, pool } of directory.listAll()) {
        pool.discardDirect(false);
        if (pool.hasSilentDirect()) {
            // Only the way counts, which the tracker learns; a failure says nothing about the path.
            connect(entry.address).then(({ socket }) => socket.destroy(), () => undefined);
        }
    }
}

const selectRandom = (addresses: readonly string[], count: number): readonly string[] =>
    [...addresses].sort(() => Math.random() - 0.5).slice(0, count);
