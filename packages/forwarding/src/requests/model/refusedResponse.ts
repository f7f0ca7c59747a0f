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
    /** Whether the endpoint certainly states that it did not run this request. */
    readonly isCertain: boolean;
    /** Counts a part of the body, which is dropped. Returns `false` if the body is too long. */
    readonly add: (chunk: Buffer) => boolean;
    /** Cancels the time limit. */
    readonly close: () => void;
}

export interface RefusedResponseOptions extends Pick<RefusedResponse, "reason" | "isCertain"> {
    /** Called if the body is not complete in time. */
    readonly onTimeout: () => void;
}

/** Begins to receive the body. */
export function createRefusedResponse({ reason, isCertain, onTimeout }: RefusedResponseOptions): RefusedResponse {
    let bytes = 0;
    return {
        reason,
        isCertain,
        add: chunk => {
            bytes += chunk.length;
            return bytes <= MAX_BODY_BYTES;
        },
        close: startTimeout(BODY_TIMEOUT_MS, onTimeout),
    };
}
