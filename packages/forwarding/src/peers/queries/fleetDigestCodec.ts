import { toFailureDomainId } from "@currantrill/protocol";
import type { DigestMember, FleetDigest } from "../model/fleetDigest.js";
import { type AssignmentRow, decodeAssignment, encodeAssignment } from "./assignmentCodec.js";
import { encodeMessage } from "./messageCodec.js";
import { decodeObservation, encodeObservation, type ObservationRow } from "./observationCodec.js";
import { decodePeerHeader, encodePeerHeader } from "./peerHeaderCodec.js";

type MemberRow = readonly [
    address: string,
    failureDomain: string,
    capacity: number,
    isStoreUnavailable: boolean,
    ageMs: number,
];

/** Encodes a digest. `nowMs` is the current time of the sender's monotonic clock. */
export const encodeFleetDigest = (digest: FleetDigest, nowMs: number): Buffer =>
    encodeMessage("digest", [
        encodePeerHeader(digest, nowMs),
        digest.hostCounts,
        digest.members.map(encodeMember),
        digest.observations.map(encodeObservation),
        digest.assignments.map(encodeAssignment(nowMs)),
    ]);

/** Ages are rounded up, so that a host which is passed on between others does not become younger. */
const encodeMember = (member: DigestMember): MemberRow => [
    member.address,
    member.failureDomain,
    member.capacity,
    member.isStoreUnavailable,
    Math.ceil(member.ageMs),
];

/** Decodes the fields of a digest. `nowMs` is the current time of the receiver's monotonic clock. */
export function decodeFleetDigest(fields: readonly unknown[], nowMs: number): FleetDigest {
    const [header, hostCounts, members, observations, assignments] = fields as [
        unknown,
        Record<string, number>,
        MemberRow[],
        ObservationRow[],
        AssignmentRow[],
    ];
    return {
        ...decodePeerHeader(header, nowMs),
        hostCounts,
        members: members.map(([address, failureDomain, capacity, isStoreUnavailable, ageMs]) => ({
            address,
            failureDomain: toFailureDomainId(failureDomain),
            capacity,
            isStoreUnavailable,
            ageMs,
        })),
        observations: observations.map(decodeObservation),
        assignments: assignments.map(decodeAssignment(nowMs)),
    };
}
