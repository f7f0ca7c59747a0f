import { type ByteBufferOptions, createByteBuffer } from "@currantrill/http";

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
    /**
     * Adds received bytes, and returns the events that they complete; `undefined` if the incomplete event after them
     * exceeds the limit or the budget.
     */
    readonly push: (chunk: Buffer) => readonly StreamEvent[] | undefined;
    /** Whether bytes of an incomplete event are buffered. */
    readonly hasIncompleteEvent: () => boolean;
    /** Drops the incomplete event and returns its memory to the budget. */
    readonly close: () => void;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;
const DATA_LINE = /^data(:|\r?$)/m;

/**
 * Creates a splitter of one response body into complete events, whose bytes it keeps unchanged. Each byte is searched
 * once, however short the chunks are. The options limit the incomplete event.
 */
export function createEventSplitter(options: ByteBufferOptions): EventSplitter {
    const incomplete = createByteBuffer(options);
    /** Bytes of the last line so far; infinite in the first line of an event, since an empty one does not end it. */
    let lineLength = Infinity;
    let lastByte = 0;
    const takeEvent = (end: Buffer): StreamEvent | undefined => {
        if (incomplete.getLength() === 0) {
            return describeEvent(end);
        }
        if (!incomplete.append(end)) {
            return undefined;
        }
        const bytes = incomplete.read();
        incomplete.clear();
        return describeEvent(bytes);
    };
    return {
        push: chunk => {
            const events: StreamEvent[] = [];
            let start = 0;
            let lineStart = -lineLength;
            for (let index = chunk.indexOf(LINE_FEED); index >= 0; index = chunk.indexOf(LINE_FEED, index + 1)) {
                const length = index - lineStart;
                const previous = index > 0 ? chunk[index - 1] : lastByte;
                const isEmptyLine = length === 0 || length === 1 && previous === CARRIAGE_RETURN;
                lineStart = index + 1;
                if (!isEmptyLine) {
                    continue;
                }
                const event = takeEvent(chunk.subarray(start, index + 1));
                if (event === undefined) {
                    return undefined;
                }
                events.push(event);
                start = index + 1;
                lineStart = -Infinity;
            }
            lineLength = chunk.length - lineStart;
            lastByte = chunk.at(-1) ?? lastByte;
            return incomplete.append(chunk.subarray(start)) ? events : undefined;
        },
        hasIncompleteEvent: () => incomplete.getLength() > 0,
        close: incomplete.clear,
    };
}

function describeEvent(bytes: Buffer): StreamEvent {
    const text = bytes.toString("latin1");
    const id = ID_LINE.exec(text)?.[1];
    return id === undefined
        ? { bytes, hasContent: DATA_LINE.test(text) }
        : { bytes, id: Number(id), hasContent: true };
}
