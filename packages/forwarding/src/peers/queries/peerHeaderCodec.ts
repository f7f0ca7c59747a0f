/** Encoding of the fields that states and digests share. */
import { toFailureDomainId } from "@currantrill/protocol";
import { decodeNotice, encodeNotice, type NoticeRow } from "../../notices/queries/noticeCodec.js";
import { decodeEvidence, encodeEvidence, type EvidenceRow } from "../../quarantine/queries/evidenceCodec.js";
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
    /** Ignored by builds that know no quarantine, and absent in their messages. */
    evidence?: EvidenceRow | null,
    /** Ignored by builds that do not read rate limits, and absent in their messages. */
    notices?: readonly NoticeRow[] | null,
];

/** Encodes a header. `nowMs` is the current time of the sender's monotonic clock. */
export const encodePeerHeader = (header: PeerHeader, nowMs: number): HeaderRow => [
    header.address,
    header.failureDomain,
    header.incarnation,
    header.sequence,
    header.capacity,
    header.isLeaving,
    header.isStoreUnavailable,
    header.lastChangeVersions,
    header.evidence === undefined ? null : encodeEvidence(header.evidence, nowMs),
    header.notices?.map(encodeNotice) ?? null,
];

/** Decodes a header. `nowMs` is the current time of the receiver's monotonic clock. */
export function decodePeerHeader(row: unknown, nowMs: number): PeerHeader {
    const [
        address,
        failureDomain,
        incarnation,
        sequence,
        capacity,
        isLeaving,
        isStoreUnavailable,
        lastChangeVersions,
        evidence,
        notices,
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
        ...(evidence === undefined || evidence === null ? {} : { evidence: decodeEvidence(evidence, nowMs) }),
        ...(notices === undefined || notices === null ? {} : { notices: notices.map(decodeNotice) }),
    };
}
