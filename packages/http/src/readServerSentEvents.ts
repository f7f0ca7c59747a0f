import { createParser } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";

/** Limit on an incomplete event, in characters. Events of engines have a few hundred. */
const MAX_EVENT_LENGTH = 1_048_576;

/**
 * Parses the server-sent events of a response body and yields the data of each one. Ends with the body, whether or not
 * the terminating event was received; the caller has to check for it. Throws if an event is longer
 * than `MAX_EVENT_LENGTH`.
 */
export async function* readServerSentEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const pending: string[] = [];
    const errors: Error[] = [];
    const parser = createParser({
        maxBufferSize: MAX_EVENT_LENGTH,
        onEvent: event => pending.push(event.data),
        onError: error => error.type === "max-buffer-size-exceeded" && errors.push(error),
    });
    const decoder = new StringDecoder("utf8");
    for await (const chunk of body) {
        parser.feed(decoder.write(chunk));
        yield* pending.splice(0);
        if (errors[0] !== undefined) {
            throw errors[0];
        }
    }
}
