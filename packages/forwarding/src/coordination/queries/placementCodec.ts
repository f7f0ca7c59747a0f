/** Encoding of placement queries and answers. */
import { toFailureDomainId, toServiceId } from "@currantrill/protocol";
import { encodeMessage } from "../../peers/queries/messageCodec.js";
import type { PlacementAnswer, PlacementQuery } from "../model/placementQuery.js";

/** A query with its sender and the id that the answer repeats. */
export interface QueryMessage {
    /** Address of the host that asks. */
    readonly from: string;
    /** Increases with each query of a run of the host's process. */
    readonly id: number;
    readonly query: PlacementQuery;
}

export interface AnswerMessage {
    readonly id: number;
    readonly answer: PlacementAnswer;
}

type QueryFields = readonly [
    from: string,
    id: number,
    service: string,
    promptTokens: number,
    answerTokens: number,
    targetMs: number,
    targetPauseMs: number,
    excludedIds: readonly string[],
    mayRedirect: boolean,
    maxCost: number | null,
];

export const encodeQuery = ({ from, id, query }: QueryMessage): Buffer =>
    encodeMessage("query", [
        from,
        id,
        query.service,
        query.promptTokens,
        query.answerTokens,
        query.targetMs,
        query.targetPauseMs,
        query.excludedIds,
        query.mayRedirect,
        query.maxCost ?? null,
    ]);

export function decodeQuery(fields: readonly unknown[]): QueryMessage {
    const [
        from,
        id,
        service,
        promptTokens,
        answerTokens,
        targetMs,
        targetPauseMs,
        excludedIds,
        mayRedirect,
        maxCost,
    ] = fields as unknown as QueryFields;
    return {
        from,
        id,
        query: {
            service: toServiceId(service),
            promptTokens,
            answerTokens,
            targetMs,
            targetPauseMs,
            excludedIds,
            mayRedirect,
            ...(maxCost === null ? {} : { maxCost }),
        },
    };
}

/** Encodes an answer; its kinds and their fields are those of `PlacementAnswer`. */
export const encodeAnswer = ({ id, answer }: AnswerMessage): Buffer => encodeMessage("answer", [id, answer]);

export function decodeAnswer(fields: readonly unknown[]): AnswerMessage {
    const [id, answer] = fields as [number, PlacementAnswer];
    return {
        id,
        answer: answer.kind === "redirected" ? { ...answer, domain: toFailureDomainId(answer.domain) } : answer,
    };
}
