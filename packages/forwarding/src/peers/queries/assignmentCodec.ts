/** Encoding of assignments. Times are encoded as ages, because hosts share no clock. */
import type { Assignment } from "../../placement/model/assignment.js";

/** An assignment on the wire; its times are in milliseconds. */
export type AssignmentRow = readonly [
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

/** Encodes an assignment. `nowMs` is the current time of the sender's monotonic clock. */
export const encodeAssignment = (nowMs: number) => (assignment: Assignment): AssignmentRow => [
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
];

/** Decodes an assignment. `nowMs` is the current time of the receiver's monotonic clock, to which ages are converted. */
export const decodeAssignment = (nowMs: number) => (row: AssignmentRow): Assignment => {
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
