import type { IncomingMessage } from "node:http";
import type { ByteBudget } from "./byteBudget.js";
import { createByteBuffer } from "./byteBuffer.js";
import { resumeConnection } from "./resumeConnection.js";
import type { HttpError } from "./serveHttp.js";

/** Bytes beyond the limit that are read and discarded, so that the client can finish sending and read the response. */
const DISCARD_LIMIT_BYTES = 64 * 1024 * 1024;
/** Chunks after which reading pauses for a turn of the event loop. Each one costs work, however short it is. */
const MAX_CHUNKS_PER_TURN = 1_024;

export interface ReadRawBodyOptions {
    readonly limitBytes: number;
    /** Pays for the memory of the body until `RawBody.release` is called. */
    readonly budget?: ByteBudget;
    /** Called with the length of each piece. */
    readonly onPiece?: (bytes: number) => void;
}

export interface RawBody {
    readonly bytes: Buffer;
    /** Returns the memory to the budget. Must be called once the body is no longer needed. */
    readonly release: () => void;
}

/**
 * Reads a request body without decoding it. Rejects with an `HttpError`: status 413 and type `entity.too.large` if the
 * body exceeds the limit, status 503 and type `body.budget` if it exceeds the budget, status 400 and type
 * `request.aborted` if the connection closes before the end of the body.
 */
export function readRawBody(
    request: IncomingMessage,
    { limitBytes, budget, onPiece }: ReadRawBodyOptions,
): Promise<RawBody> {
    return new Promise((resolve, reject) => {
        const buffer = createByteBuffer({ maxBytes: limitBytes, ...(budget === undefined ? {} : { budget }) });
        let length = 0;
        let chunks = 0;
        // What is over the limit by its stated length is not kept at all.
        let isDiscarding = Number(request.headers["content-length"] ?? 0) > limitBytes;
        const rejectTooLarge = (): void => reject(createBodyError(413, "entity.too.large", "the body is too large"));
        request.on("data", (chunk: Buffer) => {
            length += chunk.length;
            chunks += 1;
            onPiece?.(chunk.length);
            if (length > limitBytes + DISCARD_LIMIT_BYTES) {
                request.pause();
                rejectTooLarge();
                return;
            }
            if (chunks % MAX_CHUNKS_PER_TURN === 0) {
                stopForTurn(request);
            }
            if (isDiscarding || buffer.append(chunk)) {
                return;
            }
            isDiscarding = true;
            buffer.clear();
            if (length <= limitBytes) {
                reject(createBodyError(503, "body.budget", "the bodies of all requests occupy too much memory"));
            }
        });
        request.once("end", () => {
            if (length > limitBytes) {
                rejectTooLarge();
                return;
            }
            resolve({ bytes: buffer.read(), release: buffer.clear });
        });
        const rejectIncomplete = (): void => {
            // `close` is also emitted after a complete body.
            if (!request.complete) {
                buffer.clear();
                reject(createBodyError(400, "request.aborted", "the body ended early"));
            }
        };
        request.once("error", rejectIncomplete);
        request.once("close", rejectIncomplete);
    });
}

/** The connection pauses, too: Node.js would go on adding pieces, which are objects, until they have 16 KB of content. */
function stopForTurn(request: IncomingMessage): void {
    request.pause();
    request.socket.pause();
    setImmediate(() => {
        request.resume();
        resumeConnection(request.socket);
    });
}

/** Creates the error of a body that cannot be read. */
export const createBodyError = (status: number, type: string, message: string): HttpError =>
    Object.assign(new Error(message), { status, type });
