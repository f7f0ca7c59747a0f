/**
 * Number of chunks that a body may have whatever their length. Each chunk costs work of its own, and 16 bytes are half of
 * a short event.
 */
const MAX_SHORT_CHUNKS = 131_072;
/** Mean length of the chunks of a body that has more of them. */
const MIN_MEAN_CHUNK_BYTES = 16;
/** Part of a body after which reading pauses for one turn of the event loop, so that other requests go on. */
const MAX_CHUNKS_PER_TURN = 1_024;
const MAX_BYTES_PER_TURN = 65_536;

/** Reads the body of a response at a pace that leaves time for other requests. */
export interface BodyReading {
    /** Handles a chunk. */
    readonly add: (chunk: Buffer) => void;
    /** Returns the number of bytes so far. */
    readonly getBytes: () => number;
    /** Pauses until `resume` is called. */
    readonly pause: () => void;
    readonly resume: () => void;
}

export interface BodyReadingOptions {
    /** Returns what pauses and resumes the HTTP client; `undefined` before the request has been started. */
    readonly getController: () => { pause: () => void; resume: () => void; } | undefined;
    /** Receives each chunk. Returns `false` if the body exceeds a limit. */
    readonly onData: (chunk: Buffer) => boolean;
    /** Called if the body exceeds a limit. */
    readonly onExceeded: (reason: string) => void;
}

export function createBodyReading({ getController, onData, onExceeded }: BodyReadingOptions): BodyReading {
    let chunks = 0;
    let bytes = 0;
    let turnChunks = 0;
    let turnBytes = 0;
    let isPaused = false;
    let isYielding = false;
    const resumeIfAllowed = (): void => {
        if (!isPaused && !isYielding) {
            getController()?.resume();
        }
    };
    const skipTurn = (): void => {
        turnChunks = 0;
        turnBytes = 0;
        isYielding = true;
        getController()?.pause();
        setImmediate(() => {
            isYielding = false;
            resumeIfAllowed();
        });
    };
    return {
        add: chunk => {
            chunks += 1;
            bytes += chunk.length;
            turnChunks += 1;
            turnBytes += chunk.length;
            if (!isYielding && (turnChunks >= MAX_CHUNKS_PER_TURN || turnBytes >= MAX_BYTES_PER_TURN)) {
                skipTurn();
            }
            if (chunks > MAX_SHORT_CHUNKS && bytes < chunks * MIN_MEAN_CHUNK_BYTES) {
                onExceeded("the response has too many short chunks");
            }
            else if (!onData(chunk)) {
                onExceeded("the response exceeds a size limit");
            }
        },
        getBytes: () => bytes,
        pause: () => {
            isPaused = true;
            getController()?.pause();
        },
        resume: () => {
            isPaused = false;
            resumeIfAllowed();
        },
    };
}
