/** Sends placement queries to coordinators. */
import { startTimeout } from "../../endpoints/model/startTimeout.js";
import type { PeerSocket } from "../../peers/commands/openPeerSocket.js";
import type { PlacementAnswer, PlacementQuery } from "../model/placementQuery.js";
import { decodeAnswer, encodeQuery } from "../queries/placementCodec.js";

/**
 * Time for an answer. In a failure domain it takes less than a millisecond, between them a few; a coordinator that is
 * starved of processor time takes tens.
 */
const ANSWER_TIMEOUT_MS = 30;

export interface PlacementReply {
    readonly answer: PlacementAnswer;
    /** Must be called once the assignments of a placement have been added, or will not be. */
    readonly settle: () => void;
}

export interface PlacementClient {
    /** Asks a coordinator. Resolves with `undefined` if it does not answer in time. */
    readonly ask: (coordinator: string, query: PlacementQuery) => Promise<PlacementReply | undefined>;
    /** Returns the id up to which all queries are settled. */
    readonly getSettledQuery: () => number;
}

export interface PlacementClientOptions {
    readonly socket: PeerSocket;
    /** Address of this host. */
    readonly address: string;
    /** Called for each answer with its kind, and for each query without one, for metrics. */
    readonly onAnswer: (outcome: PlacementAnswer["kind"] | "no_answer") => void;
}

/** Creates a client, which numbers its queries. */
export function createPlacementClient({ socket, address, onAnswer }: PlacementClientOptions): PlacementClient {
    const pending = new Map<number, (answer: PlacementAnswer | undefined) => void>();
    const unsettledIds = new Set<number>();
    let lastId = 0;
    socket.setHandler("answer", fields => {
        const { id, answer } = decodeAnswer(fields);
        pending.get(id)?.(answer);
    });
    return {
        ask: (coordinator, query) =>
            new Promise(resolve => {
                lastId += 1;
                const id = lastId;
                const settle = (): void => void unsettledIds.delete(id);
                const finish = (answer: PlacementAnswer | undefined): void => {
                    cancelTimeout();
                    pending.delete(id);
                    onAnswer(answer?.kind ?? "no_answer");
                    if (answer?.kind !== "placed") {
                        settle();
                    }
                    resolve(answer === undefined ? undefined : { answer, settle });
                };
                const cancelTimeout = startTimeout(ANSWER_TIMEOUT_MS, () => finish(undefined));
                unsettledIds.add(id);
                pending.set(id, finish);
                socket.send(encodeQuery({ from: address, id, query }), [coordinator]);
            }),
        getSettledQuery: () => Math.min(lastId, ...[...unsettledIds].map(id => id - 1)),
    };
}
