/** Matches the answers of peers to the questions of this host. */
import { startTimeout } from "../../endpoints/model/startTimeout.js";

/** Questions by id, and the answers that they wait for. */
export interface ReplyWaiter<T> {
    /** Sends a question with a new id, and resolves with the answer, or with `undefined` if none arrives in time. */
    readonly ask: (send: (id: number) => void) => Promise<T | undefined>;
    /** Receives an answer. One that nobody waits for is dropped. */
    readonly receive: (id: number, answer: T) => void;
}

/** Creates a waiter that waits `timeoutMs` for each answer. Ids count up from 1. */
export function createReplyWaiter<T>(timeoutMs: number): ReplyWaiter<T> {
    const pending = new Map<number, (answer: T | undefined) => void>();
    let lastId = 0;
    return {
        ask: send =>
            new Promise(resolve => {
                lastId += 1;
                const id = lastId;
                const finish = (answer: T | undefined): void => {
                    cancelTimeout();
                    pending.delete(id);
                    resolve(answer);
                };
                const cancelTimeout = startTimeout(timeoutMs, () => finish(undefined));
                pending.set(id, finish);
                send(id);
            }),
        receive: (id, answer) => pending.get(id)?.(answer),
    };
}
