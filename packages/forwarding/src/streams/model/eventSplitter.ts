/** Splits a body into whole server-sent events, keeping their bytes as they are. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Number in the event's `id` line, if it has one. */
    readonly id?: number;
}

export interface EventSplitter {
    /** Adds bytes and returns the events that are complete now. */
    readonly push: (chunk: Buffer) => readonly StreamEvent[];
    /** Whether bytes of an unfinished event are held. */
    readonly hasRest: () => boolean;
}

const EVENT_END = /\r?\n\r?\n/g;
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** Creates a splitter for one response. */
export function createEventSplitter(): EventSplitter {
    let rest = Buffer.alloc(0);
    return {
        push: chunk => {
            const data = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const text = data.toString("latin1");
            const events: StreamEvent[] = [];
            let start = 0;
            for (const match of text.matchAll(EVENT_END)) {
                const end = match.index + match[0].length;
                events.push(describeEvent(data.subarray(start, end), text.slice(start, end)));
                start = end;
            }
            rest = Buffer.from(data.subarray(start));
            return events;
        },
        hasRest: () => rest.length > 0,
    };
}

function describeEvent(bytes: Buffer, text: string): StreamEvent {
    const id = ID_LINE.exec(text)?.[1];
    return id === undefined ? { bytes } : { bytes, id: Number(id) };
}
