/** A complete server-sent event. */
export interface StreamEvent {
    /** The event as received, including the empty line at its end. */
    readonly bytes: Buffer;
    /** Number in the event's `id` line; absent if the event has none. */
    readonly id?: number;
    /** Whether the event has an `id` or `data` line. Otherwise it only has comments, or nothing. */
    readonly hasContent: boolean;
}

export interface EventSplitter {
    /** Adds received bytes, and returns the events that they complete. */
    readonly push: (chunk: Buffer) => readonly StreamEvent[];
    /** Whether bytes of an incomplete event are buffered. */
    readonly hasIncompleteEvent: () => boolean;
}

const EVENT_END = /\r?\n\r?\n/g;
const ID_LINE = /^id: ?(\d+)\r?$/m;
const DATA_LINE = /^data(:|\r?$)/m;

/** Creates a splitter of one response body into complete events, whose bytes it keeps unchanged. */
export function createEventSplitter(): EventSplitter {
    let buffered = Buffer.alloc(0);
    return {
        push: chunk => {
            const data = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
            const text = data.toString("latin1");
            const events: StreamEvent[] = [];
            let start = 0;
            for (const match of text.matchAll(EVENT_END)) {
                const end = match.index + match[0].length;
                events.push(describeEvent(data.subarray(start, end), text.slice(start, end)));
                start = end;
            }
            buffered = Buffer.from(data.subarray(start));
            return events;
        },
        hasIncompleteEvent: () => buffered.length > 0,
    };
}

function describeEvent(bytes: Buffer, text: string): StreamEvent {
    const id = ID_LINE.exec(text)?.[1];
    return id === undefined
        ? { bytes, hasContent: DATA_LINE.test(text) }
        : { bytes, id: Number(id), hasContent: true };
}
