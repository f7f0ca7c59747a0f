/** Encoding of requests for permits and of the answers. */
import { encodeMessage } from "../../peers/queries/messageCodec.js";

/** An endpoint for which a permit is needed, with the limit that the host knows of. */
export interface PermitNeed {
    readonly endpointId: string;
    readonly requestsPerSecond: number;
    /** Number of permits that have to be left for others. */
    readonly permitsLeft: number;
    /** Whether the endpoint is cold, as far as the host knows. */
    readonly isCold: boolean;
}

export interface PermitQuery {
    /** Address of the host that asks. */
    readonly from: string;
    /** Increases with each query of a run of the host's process. */
    readonly id: number;
    readonly needs: readonly PermitNeed[];
}

export type EndpointLevel = readonly [endpointId: string, level: number];

/** Answer to a query, for all needs together. */
export interface PermitAnswer {
    readonly isGranted: boolean;
    /**
     * Permits that are available now, by endpoint; can be fractions. Those of other endpoints are listed as well, so that
     * the host does not ask for permits that are not there.
     */
    readonly levels: readonly EndpointLevel[];
}

type NeedRow = readonly [endpointId: string, requestsPerSecond: number, permitsLeft: number, isCold?: boolean];
type QueryFields = readonly [from: string, id: number, needs: readonly NeedRow[]];

export const encodePermitQuery = ({ from, id, needs }: PermitQuery): Buffer =>
    encodeMessage("permitQuery", [
        from,
        id,
        needs.map(need => [need.endpointId, need.requestsPerSecond, need.permitsLeft, need.isCold]),
    ]);

export function decodePermitQuery(fields: readonly unknown[]): PermitQuery {
    const [from, id, needs] = fields as unknown as QueryFields;
    return {
        from,
        id,
        needs: needs.map(([endpointId, requestsPerSecond, permitsLeft, isCold = false]) => ({
            endpointId,
            requestsPerSecond,
            permitsLeft,
            isCold,
        })),
    };
}

/** Encodes an answer; `undefined` if another host grants the permits. */
export const encodePermitAnswer = (id: number, answer: PermitAnswer | undefined): Buffer =>
    encodeMessage("permitAnswer", [
        id,
        answer === undefined ? null : [answer.isGranted, answer.levels],
    ]);

export function decodePermitAnswer(
    fields: readonly unknown[],
): { readonly id: number; readonly answer: PermitAnswer | undefined; } {
    const [id, answer] = fields as [number, readonly [boolean, readonly EndpointLevel[]] | null];
    return { id, answer: answer === null ? undefined : { isGranted: answer[0], levels: answer[1] } };
}
