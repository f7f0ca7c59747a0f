import { readEvents } from "@currantrill/http";
import {
    type GeneratedToken,
    generatedTokenSchema,
    type GenerateRequest,
    STREAM_TERMINATOR,
} from "@currantrill/protocol";
import { request } from "undici";
import VError from "verror";

/**
 * Runs a prompt on an engine and yields its tokens. Throws `IncompleteStream` if the terminator is missing and
 * `EndpointRefused` if the engine does not accept the request.
 */
export async function* generateTokens(
    url: string,
    body: GenerateRequest,
    signal: AbortSignal,
): AsyncGenerator<GeneratedToken> {
    const response = await request(`${url}/v1/generate`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal,
    });
    if (response.statusCode !== 200) {
        await response.body.dump();
        throw new VError({ name: "EndpointRefused" }, "the endpoint answered %d", response.statusCode);
    }
    for await (const data of readEvents(response.body)) {
        if (data === STREAM_TERMINATOR) {
            return;
        }
        yield generatedTokenSchema.parse(JSON.parse(data));
    }
    throw new VError({ name: "IncompleteStream" }, "the endpoint closed the stream without its terminator");
}
