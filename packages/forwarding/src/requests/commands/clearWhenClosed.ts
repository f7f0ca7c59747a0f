import type { ByteBuffer } from "@currantrill/http";
import type { ServerResponse } from "node:http";

/** Clears a buffer once the response has been sent or its connection has closed. */
export function clearWhenClosed(response: ServerResponse, buffer: ByteBuffer): void {
    if (response.closed) {
        buffer.clear();
        return;
    }
    response.once("close", buffer.clear);
}
