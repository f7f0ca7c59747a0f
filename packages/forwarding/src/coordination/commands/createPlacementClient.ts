/** Sends placement queries to coordinators. */
import { createReplyWaiter } from "../../peers/commands/createReplyWaiter.js";
import type { PeerSocket } from "../../peers/commands/openPeerSocket.js";
import type { PlacementAnswer, PlacementQuery } from "../model/placementQuery.js";
import { decodeAnswer, encodeQuery } from "../queries/placementCodec.js";

/**
 * Time for an answer. In a failure domain it takes less than a millisecond, between them a few; a coordinator that is
 * starved of processor time takes tens.
 */
const ANSWER_TIMEOUT_MS = 30;
/**
 * An answer that is read later has waited in this process, which was paused: its placement and the permits that it took are
 * outdated.
 */
const MAX_ANSWER_AGE_MS = 2 * ANSWER_TIMEOUT_MS;

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
    const waiter = createReplyWaiter<PlacementAnswer>(ANSWER_TIMEOUT_MS);
    const unsettledIds = new Set<number>();
    let lastId = 0;
    socket.setHandler("answer", fields => {
        const { id, answer } = decodeAnswer(fields);
        waiter.receive(id, answer);
    });
    return {
        ask: async (coordinator, query) => {
            let queryId = 0;
            const askedAtMs = performance.now();
            const received = await waiter.ask(id => {
                queryId = id;
                lastId = id;
                unsettledIds.add(id);
                socket.send(encodeQuery({ from: address, id, query }), [coordinator]);
            });
            const answer = performance.now() - askedAtMs > MAX_ANSWER_AGE_MS ? undefined : received;
            const settle = (): void => void unsettledIds.delete(queryId);
            onAnswer(answer?.kind ?? "no_answer");
            if (answer?.kind !== "placed") {
                settle();
            }
            return answer === undefined ? undefined : { answer, settle };
        },
        getSettledQuery: () => Math.min(lastId, ...[...unsettledIds].map(id => id - 1)),
    };
}
