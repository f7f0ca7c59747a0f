/** Sends a call to one endpoint of a plain service. */
import { createByteBuffer, createGuardedDispatcher, type HttpConnectionPool } from "@currantrill/http";
import { callerHeaders } from "@currantrill/protocol";
import type { AttemptId } from "@currantrill/protocol";
import { getRemainingMs } from "../../callers/model/requestScope.js";
import type { ServiceAnswer, ServiceCall } from "../model/serviceCall.js";
import { selectResponseHeaders } from "../queries/selectHeaders.js";

/** Size limit of a response, which is buffered in memory until it is complete. A larger one fails the attempt. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

export interface SendCallOptions {
    readonly connections: HttpConnectionPool;
    readonly attemptId: AttemptId;
    /** Aborts the attempt. */
    readonly signal: AbortSignal;
    /** Called immediately before the first byte is sent; `false` aborts the attempt without sending anything. */
    admit(): boolean;
}

/** Result of one attempt. `bytesSent` says whether the service may have received the call. */
export type SendCallResult =
    | { readonly kind: "answered"; readonly answer: ServiceAnswer; }
    | { readonly kind: "failed"; readonly bytesSent: boolean; readonly error: Error; };

/** Sends the call once and reads the complete response. Never rejects. */
export async function sendCall(call: ServiceCall, options: SendCallOptions): Promise<SendCallResult> {
    let bytesSent = false;
    const admit = (): boolean => {
        bytesSent = options.admit();
        return bytesSent;
    };
    try {
        const response = await createGuardedDispatcher(options.connections.getDispatcher(), { admit }).request({
            origin: options.connections.origin,
            method: call.method,
            path: call.target,
            headers: {
                ...call.headers,
                [callerHeaders.requestId]: call.scope.requestId,
                [callerHeaders.timeout]: String(Math.ceil(getRemainingMs(call.scope))),
                "x-attempt-id": options.attemptId,
            },
            body: call.body.length === 0 ? null : call.body,
            signal: options.signal,
        });
        const body = await readBody(response.body);
        const answer = { status: response.statusCode, headers: selectResponseHeaders(response.headers), body };
        return { kind: "answered", answer };
    }
    catch (error) {
        return { kind: "failed", bytesSent, error: error as Error };
    }
}

async function readBody(body: AsyncIterable<Uint8Array>): Promise<Buffer> {
    const buffer = createByteBuffer({ maxBytes: MAX_ANSWER_BYTES });
    for await (const chunk of body) {
        if (!buffer.append(chunk)) {
            throw new Error(`service response exceeds the limit of ${MAX_ANSWER_BYTES} bytes`);
        }
    }
    return buffer.read();
}
