/** Reads server-sent events from a response body. */
import { createParser } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";

/** Yields the data of each event. Ends with the body, whether or not a terminator was sent. */
export async function* readEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const pending: string[] = [];
    const parser = createParser({ onEvent: event => pending.push(event.data) });
    const decoder = new StringDecoder("utf8");
    for await (const chunk of body) {
        parser.feed(decoder.write(chunk));
        yield* pending.splice(0);
    }
}
