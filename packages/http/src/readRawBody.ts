import type { IncomingMessage } from "node:http";
import type { HttpError } from "./serveHttp.js";

/** Rest of a too large body that is read and dropped, so that the sender can read the answer. */
const DISCARD_LIMIT_BYTES = 64 * 1024 * 1024;

/** Reads a body as it arrived. Rejects with status 413 and type `entity.too.large` if it is larger than the limit. */
export function readRawBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let length = 0;
        const rejectSize = (): void => reject(createBodyError(413, "entity.too.large", "the body is too large"));
        request.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length <= limitBytes) {
                chunks.push(chunk);
                return;
            }
            chunks.length = 0;
            if (length > limitBytes + DISCARD_LIMIT_BYTES) {
                request.pause();
                rejectSize();
            }
        });
        request.once("end", () => {
            if (length > limitBytes) {
                rejectSize();
                return;
            }
            resolve(Buffer.concat(chunks));
        });
        const rejectEarlyEnd = (): void => {
            // A request also closes after a body that was read whole.
            if (!request.complete) {
                reject(createBodyError(400, "request.aborted", "the body ended early"));
            }
        };
        request.once("error", rejectEarlyEnd);
        request.once("close", rejectEarlyEnd);
    });
}

const createBodyError = (status: number, type: string, message: string): HttpError =>
    Object.assign(new Error(message), { status, type });
