/** Encoding of the fields that states and digests share. */
import { toFailureDomainId } from "@currantrill/protocol";
import type { PeerHeader } from "../model/peerState.js";

type HeaderRow = readonly [
    address: string,
    failureDomain: string,
    incarnation: number,
    sequence: number,
    capacity: number,
    isLeaving: boolean,
    isStoreUnavailable: boolean,
    lastChangeVersions: Readonly<Record<string, number>>,
];

export const encodePeerHeader = (header: PeerHeader): HeaderRow => [
    header.address,
    header.failureDomain,
    header.incarnation,
    header.sequence,
    header.capacity,
    header.isLeaving,
    header.isStoreUnavailable,
    header.lastChangeVersions,
];

export function decodePeerHeader(row: unknown): PeerHeader {
    const [
        address,
        failureDomain,
        incarnation,
        sequence,
        capacity,
        isLeaving,
        isStoreUnavailable,
        lastChangeVersions,
    ] = row as HeaderRow;
    return {
        address,
        failureDomain: toFailureDomainId(failureDomain),
        incarnation,
        sequence,
        capacity,
        isLeaving,
        isStoreUnavailable,
        lastChangeVersions,
    };
}
