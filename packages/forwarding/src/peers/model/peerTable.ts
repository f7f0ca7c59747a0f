/** The hosts that a host sends to, and when it heard them. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { PeerState } from "./peerState.js";

/** A peer that is not heard for this time takes no part in decisions. */
const SILENT_MS = 2_500;
/** A peer that is not heard for this time is forgotten until it is named again. */
const FORGET_MS = 60_000;

interface Peer {
    heardAtMs: number;
    incarnation: number;
    sequence: number;
    /** Unknown until the peer is heard. */
    failureDomain: FailureDomainId | undefined;
    hasLostStore: boolean;
}

export interface PeerTable {
    readonly add: (addresses: readonly string[], nowMs: number) => void;
    /** Records a message. `stale`: it is older than one that was heard. `heard`: the peer had been silent. */
    readonly accept: (state: PeerState, nowMs: number) => "stale" | "heard" | "known";
    readonly listAll: () => readonly string[];
    readonly listHeard: (nowMs: number) => readonly string[];
    /** Peers that are heard and have news from the store, of one failure domain. */
    readonly listWithStore: (domain: FailureDomainId, nowMs: number) => readonly string[];
    /** Whether a peer belongs to a failure domain, or is not known well enough to say. */
    readonly mayBeIn: (domain: FailureDomainId, address: string) => boolean;
    /** Peers that are heard, of one failure domain. */
    readonly listHeardIn: (domain: FailureDomainId, nowMs: number) => readonly string[];
    /** Forgets peers that have been silent for long, and returns them. */
    readonly forgetOld: (nowMs: number) => readonly string[];
}

/** Creates an empty table of a host with its own address. */
export function createPeerTable(ownAddress: string): PeerTable {
    const peers = new Map<string, Peer>();
    const isHeard = (peer: Peer, nowMs: number): boolean => nowMs - peer.heardAtMs < SILENT_MS;
    return {
        add: (addresses, nowMs) => {
            for (const address of addresses) {
                if (address !== ownAddress && !peers.has(address)) {
                    peers.set(address, {
                        heardAtMs: nowMs - SILENT_MS,
                        incarnation: 0,
                        sequence: 0,
                        failureDomain: undefined,
                        hasLostStore: false,
                    });
                }
            }
        },
        accept: (state, nowMs) => {
            const known = peers.get(state.address);
            // A host whose clock was set back starts again with a lower incarnation, once the earlier run is silent.
            const isEarlierRun = known !== undefined && state.incarnation < known.incarnation && isHeard(known, nowMs);
            const isRepeated = known?.incarnation === state.incarnation && state.sequence <= known.sequence;
            const isStale = state.address === ownAddress || isEarlierRun || isRepeated;
            if (isStale) {
                return "stale";
            }
            const { incarnation, sequence, failureDomain, hasLostStore } = state;
            peers.set(state.address, { heardAtMs: nowMs, incarnation, sequence, failureDomain, hasLostStore });
            return known !== undefined && isHeard(known, nowMs) ? "known" : "heard";
        },
        listAll: () => [...peers.keys()],
        listHeard: nowMs => [...peers].filter(([, peer]) => isHeard(peer, nowMs)).map(([address]) => address),
        listHeardIn: (domain, nowMs) =>
            [...peers]
                .filter(([, peer]) => peer.failureDomain === domain && isHeard(peer, nowMs))
                .map(([address]) => address),
        listWithStore: (domain, nowMs) =>
            [...peers]
                .filter(([, peer]) => peer.failureDomain === domain && !peer.hasLostStore && isHeard(peer, nowMs))
                .map(([address]) => address),
        mayBeIn: (domain, address) => {
            const known = peers.get(address)?.failureDomain;
            return known === undefined || known === domain;
        },
        forgetOld: nowMs => {
            const old = [...peers].filter(([, peer]) => nowMs - peer.heardAtMs > FORGET_MS).map(([address]) => address);
            old.forEach(address => peers.delete(address));
            return old;
        },
    };
}
