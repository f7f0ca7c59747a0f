import type { PeerState } from "../model/peerState.js";
import { type AssignmentRow, decodeAssignment, encodeAssignment } from "./assignmentCodec.js";
import { encodeMessage } from "./messageCodec.js";
import { decodeObservation, encodeObservation, type ObservationRow } from "./observationCodec.js";
import { decodePeerHeader, encodePeerHeader } from "./peerHeaderCodec.js";

/** Encodes a state. `nowMs` is the current time of the sender's monotonic clock. */
export const encodePeerState = (state: PeerState, nowMs: number): Buffer =>
    encodeMessage("state", [
        encodePeerHeader(state, nowMs),
        state.hosts,
        state.observations.map(encodeObservation),
        state.settledQuery,
        state.assignments.map(encodeAssignment(nowMs)),
    ]);

/** Decodes the fields of a state. `nowMs` is the current time of the receiver's monotonic clock. */
export function decodePeerState(fields: readonly unknown[], nowMs: number): PeerState {
    const [header, hosts, observations, settledQuery, assignments] = fields as [
        unknown,
        string[],
        ObservationRow[],
        number,
        AssignmentRow[],
    ];
    return {
        ...decodePeerHeader(header, nowMs),
        hosts,
        observations: observations.map(decodeObservation),
        settledQuery,
        assignments: assignments.map(decodeAssignment(nowMs)),
    };
}
