/** Peers of a host, with the time and origin of the last message received from each. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { PeerState } from "./peerState.js";

/** A peer from which no message was received for this time is not counted as alive. */
const PEER_TIMEOUT_MS = 2_500;
/** A peer from which no message was received for this time is evicted, until another host lists it again. */
const PEER_EVICTION_MS = 60_000;

interface Peer {
    lastHeardAtMs: number;
    incarnation: number;
    sequence: number;
    /** `undefined` until the first message of the peer is received. */
    failureDomain: FailureDomainId | undefined;
    isStoreUnavailable: boolean;
}

/** Known peers. Times are those of the local monotonic clock. */
export interface PeerTable {
    /** Adds peers by address, without counting them as alive. */
    readonly add: (addresses: readonly string[], nowMs: number) => void;
    /**
     * Records a received message. `stale`: it is older than one that was already received, and is to be dropped.
     * `joined`: the peer was not alive before. `known`: the peer was alive.
     */
    readonly accept: (state: PeerState, nowMs: number) => "stale" | "joined" | "known";
    /** Lists all peers, alive or not. */
    readonly listAll: () => readonly string[];
    /** Lists the peers from which a message was received within `PEER_TIMEOUT_MS`. */
    readonly listAlive: (nowMs: number) => readonly string[];
    /** Lists the live peers of a failure domain whose last call to the store succeeded. */
    readonly listWithStoreAccess: (domain: FailureDomainId, nowMs: number) => readonly string[];
    /** Whether a peer is in a failure domain, or its failure domain is still unknown. */
    readonly canBeIn: (domain: FailureDomainId, address: string) => boolean;
    readonly listAliveIn: (domain: FailureDomainId, nowMs: number) => readonly string[];
    /** Evicts the peers from which no message was received for `PEER_EVICTION_MS`, and returns their addresses. */
    readonly evictExpired: (nowMs: number) => readonly string[];
}

/** Creates an empty table. `localAddress` is the host's own address, which is never added. */
export function createPeerTable(localAddress: string): PeerTable {
    const peers = new Map<string, Peer>();
    const isAlive = (peer: Peer, nowMs: number): boolean => nowMs - peer.lastHeardAtMs < PEER_TIMEOUT_MS;
    return {
        add: (addresses, nowMs) => {
            for (const address of addresses) {
                if (address !== localAddress && !peers.has(address)) {
                    peers.set(address, {
                        lastHeardAtMs: nowMs - PEER_TIMEOUT_MS,
                        incarnation: 0,
                        sequence: 0,
                        failureDomain: undefined,
                        isStoreUnavailable: false,
                    });
                }
            }
        },
        accept: (state, nowMs) => {
            const known = peers.get(state.address);
            // A host whose clock was set back has a lower incarnation after a restart, accepted once the earlier run
            // has timed out.
            const isEarlierIncarnation = known !== undefined && state.incarnation < known.incarnation
                && isAlive(known, nowMs);
            const isRepeated = known?.incarnation === state.incarnation && state.sequence <= known.sequence;
            const isStale = state.address === localAddress || isEarlierIncarnation || isRepeated;
            if (isStale) {
                return "stale";
            }
            const { incarnation, sequence, failureDomain, isStoreUnavailable } = state;
            peers.set(state.address, {
                lastHeardAtMs: nowMs,
                incarnation,
                sequence,
                failureDomain,
                isStoreUnavailable,
            });
            return known !== undefined && isAlive(known, nowMs) ? "known" : "joined";
        },
        listAll: () => [...peers.keys()],
        listAlive: nowMs => [...peers].filter(([, peer]) => isAlive(peer, nowMs)).map(([address]) => address),
        listAliveIn: (domain, nowMs) =>
            [...peers]
                .filter(([, peer]) => peer.failureDomain === domain && isAlive(peer, nowMs))
                .map(([address]) => address),
        listWithStoreAccess: (domain, nowMs) =>
            [...peers]
                .filter(([, peer]) => peer.failureDomain === domain && !peer.isStoreUnavailable && isAlive(peer, nowMs))
                .map(([address]) => address),
        canBeIn: (domain, address) => {
            const known = peers.get(address)?.failureDomain;
            return known === undefined || known === domain;
        },
        evictExpired: nowMs => {
            const expired = [...peers].filter(([, peer]) => nowMs - peer.lastHeardAtMs > PEER_EVICTION_MS).map((
                [address],
            ) => address);
            expired.forEach(address => peers.delete(address));
            return expired;
        },
    };
}
