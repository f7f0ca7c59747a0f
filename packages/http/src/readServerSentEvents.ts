import { createParser } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";

/**
 * Parses the server-sent events of a response body and yields the data of each one. Ends with the body, whether or not
 * the terminating event was received; the caller has to check for it.
 */
export async function* readServerSentEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const pending: string[] = [];
    const parser = createParser({ onEvent: event => pending.push(event.data) });
    const decoder = new StringDecoder("utf8");
    for await (const chunk of body) {
        parser.feed(decoder.write(chunk));
        yield* pending.splice(0);
    }
}
