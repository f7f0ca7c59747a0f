/** Encoding of peer states as MessagePack arrays. Times are encoded as ages, because hosts share no clock. */
import { toFailureDomainId } from "@currantrill/protocol";
import { Packr } from "msgpackr";
import type { EndpointObservation } from "../../endpoints/model/endpointObservation.js";
import type { Assignment } from "../../placement/model/assignment.js";
import type { PeerState } from "../model/peerState.js";

const packr = new Packr({ useRecords: false });
/** Incremented with each change of the layout; messages with another layout version are ignored. */
const LAYOUT_VERSION = 2;

/** An assignment on the wire; its times are in milliseconds. */
type AssignmentRow = readonly [
    id: number,
    endpointId: string,
    memoryTokens: number,
    prefillTokens: number,
    promptShards: number,
    prefillMs: number,
    targetMs: number,
    targetPauseMs: number,
    isDecodedElsewhere: boolean,
    startedAgeMs: number,
    prefilledAgeMs: number | null,
];

/** An endpoint observation on the wire. */
type ObservationRow = readonly [
    endpointId: string,
    isUnresponsive: boolean,
    failures: number,
    slowdown: number | null,
];

/** Number of elements of the array of a state. */
const FIELD_COUNT = 11;
/** Fractional values are rounded to multiples of one over this number. */
const ROUNDING_STEPS = 100;

/** Encodes a state. `nowMs` is the current time of the sender's monotonic clock. */
export function encodePeerState(state: PeerState, nowMs: number): Buffer {
    const assignments = state.assignments.map((assignment): AssignmentRow => [
        assignment.id,
        assignment.endpointId,
        assignment.memoryTokens,
        assignment.prefillTokens,
        assignment.promptShards,
        Math.round(assignment.prefillMs),
        Math.round(assignment.targetMs),
        assignment.targetPauseMs,
        assignment.isDecodedElsewhere,
        Math.round(nowMs - assignment.startedAtMs),
        assignment.prefilledAtMs === undefined ? null : Math.round(nowMs - assignment.prefilledAtMs),
    ]);
    return packr.pack([
        LAYOUT_VERSION,
        state.address,
        state.failureDomain,
        state.incarnation,
        state.sequence,
        state.isLeaving,
        state.isStoreUnavailable,
        state.lastChangeVersions,
        state.hosts,
        state.observations.map(encodeObservation),
        assignments,
    ]);
}

const encodeObservation = (
    { endpointId, isUnresponsive, failures, slowdown }: EndpointObservation,
): ObservationRow => [
    endpointId,
    isUnresponsive,
    Math.round(failures * ROUNDING_STEPS) / ROUNDING_STEPS,
    slowdown === undefined ? null : Math.round(slowdown * ROUNDING_STEPS) / ROUNDING_STEPS,
];

/**
 * Decodes a state. `nowMs` is the current time of the receiver's monotonic clock, to which ages are converted. Returns
 * `undefined` if the data is not a state of this layout version.
 */
export function decodePeerState(data: Buffer, nowMs: number): PeerState | undefined {
    const fields = decodeArray(data);
    if (fields?.[0] !== LAYOUT_VERSION || fields.length !== FIELD_COUNT) {
        return undefined;
    }
    const [
        ,
        address,
        domain,
        incarnation,
        sequence,
        isLeaving,
        isStoreUnavailable,
        lastChangeVersions,
        hosts,
        observations,
        rows,
    ] = fields as [
        number,
        string,
        string,
        number,
        number,
        boolean,
        boolean,
        Record<string, number>,
        string[],
        ObservationRow[],
        AssignmentRow[],
    ];
    return {
        address,
        failureDomain: toFailureDomainId(domain),
        incarnation,
        sequence,
        isLeaving,
        isStoreUnavailable,
        lastChangeVersions,
        hosts,
        observations: observations.map((
            [endpointId, isUnresponsive, failures, slowdown],
        ): EndpointObservation => ({
            endpointId,
            isUnresponsive,
            failures,
            ...(slowdown === null ? {} : { slowdown }),
        })),
        assignments: rows.map(decodeAssignment(nowMs)),
    };
}

const decodeAssignment = (nowMs: number) => (row: AssignmentRow): Assignment => {
    const [
        id,
        endpointId,
        memoryTokens,
        prefillTokens,
        promptShards,
        prefillMs,
        targetMs,
        targetPauseMs,
        isDecodedElsewhere,
        startedAgeMs,
        prefilledAgeMs,
    ] = row;
    return {
        id,
        endpointId,
        memoryTokens,
        prefillTokens,
        promptShards,
        prefillMs,
        targetMs,
        targetPauseMs,
        isDecodedElsewhere,
        startedAtMs: nowMs - startedAgeMs,
        ...(prefilledAgeMs === null ? {} : { prefilledAtMs: nowMs - prefilledAgeMs }),
    };
};

function decodeArray(data: Buffer): readonly unknown[] | undefined {
    try {
        const value: unknown = packr.unpack(data);
        return Array.isArray(value) ? value : undefined;
    }
    catch {
        // The datagram is not MessagePack, for example from another program. The caller counts and logs it.
        return undefined;
    }
}
