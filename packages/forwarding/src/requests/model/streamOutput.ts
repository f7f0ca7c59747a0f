/** Sends a stream to its caller, in the framing that the caller's version of HTTP allows. */
import { type ByteBudget, createByteBuffer } from "@currantrill/http";
import type { ServerResponse } from "node:http";
import { clearWhenClosed } from "../commands/clearWhenClosed.js";

/** `full`: what was written is to be received first. `exceeded`: the host cannot hold it. */
export type WriteResult = "accepted" | "full" | "exceeded";

export interface StreamOutput {
    readonly begin: (status: number, headers: Readonly<Record<string, string | string[]>>) => void;
    readonly write: (bytes: Buffer) => WriteResult;
    /** Ends the response after the last event. */
    readonly end: () => void;
}

export interface StreamOutputOptions {
    readonly response: ServerResponse;
    /** Limit on a response that is collected. */
    readonly maxBytes: number;
    /** Pays for a response that is collected. */
    readonly budget: ByteBudget;
}

/** Sends the events in chunks as they come. */
const createChunkedOutput = ({ response }: StreamOutputOptions): StreamOutput => ({
    begin: (status, headers) => {
        response.writeHead(status, headers);
        response.flushHeaders();
    },
    write: bytes => response.write(bytes) ? "accepted" : "full",
    end: () => void response.end(),
});

/**
 * Collects the events, and sends them with a length. Without chunks, a response would end with its connection, and the
 * caller could not tell a part of it from the whole.
 */
function createCollectedOutput({ response, maxBytes, budget }: StreamOutputOptions): StreamOutput {
    const body = createByteBuffer({ maxBytes, budget });
    let status = 0;
    let headers: Readonly<Record<string, string | string[]>> = {};
    clearWhenClosed(response, body);
    return {
        begin: (...head) => {
            [status, headers] = head;
        },
        write: bytes => body.append(bytes) ? "accepted" : "exceeded",
        end: () => {
            response.writeHead(status, { ...headers, "content-length": String(body.getLength()) });
            response.end(body.read());
        },
    };
}

/** Creates the output of a stream. Callers that speak HTTP/1.0 cannot read chunks. */
export const createStreamOutput = (options: StreamOutputOptions): StreamOutput =>
    options.response.useChunkedEncodingByDefault ? createChunkedOutput(options) : createCollectedOutput(options);
