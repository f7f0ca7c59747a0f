/** Peers of a host, with the time and origin of the last message received from each. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { DigestMember } from "./fleetDigest.js";
import type { PeerHeader } from "./peerState.js";

/** A peer without a sign of life for this time is not counted as alive. */
const PEER_TIMEOUT_MS = 2_500;
/** A peer without a sign of life for this time is evicted, until another host lists it again. */
const PEER_EVICTION_MS = 60_000;

/** What is known of a peer. Times are those of the local monotonic clock. */
export interface Peer {
    readonly address: string;
    /** Time of the last sign of life, from the peer itself or from a digest that lists it. */
    readonly lastAliveAtMs: number;
    /** Time of the last message of the peer itself, `-Infinity` if there was none. */
    readonly lastMessageAtMs: number;
    readonly incarnation: number;
    readonly sequence: number;
    /** `undefined` until the first sign of life. */
    readonly failureDomain: FailureDomainId | undefined;
    readonly capacity: number;
    readonly isLeaving: boolean;
    readonly isStoreUnavailable: boolean;
}

export interface PeerTable {
    /** Adds peers by address, without counting them as alive. */
    readonly add: (addresses: readonly string[], nowMs: number) => void;
    /**
     * Records a received message. `stale`: it is older than one that was already received, and is to be dropped.
     * `joined`: the peer was not alive before. `known`: the peer was alive.
     */
    readonly accept: (message: PeerHeader, nowMs: number) => "stale" | "joined" | "known";
    /** Records the signs of life of peers that a digest lists. */
    readonly acceptMembers: (members: readonly DigestMember[], nowMs: number) => void;
    readonly get: (address: string) => Peer | undefined;
    /** Lists all peers, alive or not. */
    readonly listAll: () => readonly Peer[];
    /** Lists the peers with a recent sign of life. */
    readonly listAlive: (nowMs: number) => readonly Peer[];
    /** Evicts the peers without a sign of life for `PEER_EVICTION_MS`, and returns their addresses. */
    readonly evictExpired: (nowMs: number) => readonly string[];
}

/** Creates an empty table. `localAddress` is the host's own address, which is never added. */
export function createPeerTable(localAddress: string): PeerTable {
    const peers = new Map<string, Peer>();
    const isAlive = (peer: Peer, nowMs: number): boolean => nowMs - peer.lastAliveAtMs < PEER_TIMEOUT_MS;
    const createPeer = (address: string, nowMs: number): Peer => ({
        address,
        lastAliveAtMs: nowMs - PEER_TIMEOUT_MS,
        lastMessageAtMs: -Infinity,
        incarnation: 0,
        sequence: 0,
        failureDomain: undefined,
        capacity: 0,
        isLeaving: false,
        isStoreUnavailable: false,
    });
    return {
        add: (addresses, nowMs) => {
            for (const address of addresses) {
                if (address !== localAddress && !peers.has(address)) {
                    peers.set(address, createPeer(address, nowMs));
                }
            }
        },
        accept: (message, nowMs) => {
            const known = peers.get(message.address);
            // A host whose clock was set back has a lower incarnation after a restart, accepted once the earlier run
            // has timed out.
            const isEarlierIncarnation = known !== undefined && message.incarnation < known.incarnation
                && isAlive(known, nowMs);
            const isRepeated = known?.incarnation === message.incarnation && message.sequence <= known.sequence;
            if (message.address === localAddress || isEarlierIncarnation || isRepeated) {
                return "stale";
            }
            const { address, incarnation, sequence, failureDomain, capacity, isLeaving, isStoreUnavailable } = message;
            peers.set(address, {
                address,
                lastAliveAtMs: nowMs,
                lastMessageAtMs: nowMs,
                incarnation,
                sequence,
                failureDomain,
                capacity,
                isLeaving,
                isStoreUnavailable,
            });
            return known !== undefined && isAlive(known, nowMs) ? "known" : "joined";
        },
        acceptMembers: (members, nowMs) => {
            for (const { address, ageMs, failureDomain, capacity, isStoreUnavailable } of members) {
                const known = peers.get(address) ?? createPeer(address, nowMs);
                const lastAliveAtMs = nowMs - ageMs;
                if (address === localAddress || lastAliveAtMs <= known.lastAliveAtMs) {
                    continue;
                }
                // Members that are leaving are not listed, so a listed one has been started again.
                const isLeaving = known.isLeaving && nowMs - known.lastAliveAtMs < PEER_TIMEOUT_MS;
                peers.set(address, {
                    ...known,
                    lastAliveAtMs,
                    failureDomain,
                    capacity,
                    isLeaving,
                    isStoreUnavailable,
                });
            }
        },
        get: address => peers.get(address),
        listAll: () => [...peers.values()],
        listAlive: nowMs => [...peers.values()].filter(peer => isAlive(peer, nowMs)),
        evictExpired: nowMs => {
            const expired = [...peers.values()]
                .filter(peer => nowMs - peer.lastAliveAtMs > PEER_EVICTION_MS)
                .map(peer => peer.address);
            expired.forEach(address => peers.delete(address));
            return expired;
        },
    };
}
