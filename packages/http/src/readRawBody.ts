import type { IncomingMessage } from "node:http";
import type { HttpError } from "./serveHttp.js";

/** Bytes beyond the limit that are read and discarded, so that the client can finish sending and read the response. */
const DISCARD_LIMIT_BYTES = 64 * 1024 * 1024;

/**
 * Reads a request body without decoding it. Rejects with an `HttpError`: status 413 and type `entity.too.large` if the
 * body exceeds the limit, status 400 and type `request.aborted` if the connection closes before the end of the body.
 */
export function readRawBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let length = 0;
        const rejectTooLarge = (): void => reject(createBodyError(413, "entity.too.large", "the body is too large"));
        request.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length <= limitBytes) {
                chunks.push(chunk);
                return;
            }
            chunks.length = 0;
            if (length > limitBytes + DISCARD_LIMIT_BYTES) {
                request.pause();
                rejectTooLarge();
            }
        });
        request.once("end", () => {
            if (length > limitBytes) {
                rejectTooLarge();
                return;
            }
            resolve(Buffer.concat(chunks));
        });
        const rejectIncomplete = (): void => {
            // `close` is also emitted after a complete body.
            if (!request.complete) {
                reject(createBodyError(400, "request.aborted", "the body ended early"));
            }
        };
        request.once("error", rejectIncomplete);
        request.once("close", rejectIncomplete);
    });
}

const createBodyError = (status: number, type: string, message: string): HttpError =>
    Object.assign(new Error(message), { status, type });
