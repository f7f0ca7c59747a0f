import { startTimeout } from "../../endpoints/model/startTimeout.js";

/**
 * Time for the body of a response which states that the request was not run. The statement is in the headers, so the
 * body only matters for the reuse of the connection.
 */
const BODY_TIMEOUT_MS = 250;
/** Limit on the length of that body. */
const MAX_BODY_BYTES = 65_536;

/** A response which states that the request was not run, while its body is received. */
export interface RefusedResponse {
    /** What the endpoint stated. */
    readonly reason: string;
    /** Counts a part of the body, which is dropped. Returns `false` if the body is too long. */
    readonly add: (chunk: Buffer) => boolean;
    /** Cancels the time limit. */
    readonly close: () => void;
}

/** Begins to receive the body. `onTimeout` is called if it is not complete in time. */
export function createRefusedResponse(reason: string, onTimeout: () => void): RefusedResponse {
    let bytes = 0;
    return {
        reason,
        add: chunk => {
            bytes += chunk.length;
            return bytes <= MAX_BODY_BYTES;
        },
        close: startTimeout(BODY_TIMEOUT_MS, onTimeout),
    };
}
