import type { ByteBudget } from "./byteBudget.js";

/** Collects a response body whose length is limited. */
export interface BodyCollector {
    /** Adds a chunk. Returns `false` if the body exceeds its limit or the budget of the host; the chunk is dropped. */
    readonly add: (chunk: Buffer) => boolean;
    /** Returns the body so far. */
    readonly read: () => Buffer;
    /** Drops the body and returns its bytes to the budget. Must be called once the body is no longer needed. */
    readonly close: () => void;
}

export interface BodyCollectorOptions {
    readonly maxBytes: number;
    readonly budget: ByteBudget;
}

/** Creates a collector without any data. */
export function createBodyCollector({ maxBytes, budget }: BodyCollectorOptions): BodyCollector {
    let chunks: Buffer[] = [];
    let bytes = 0;
    return {
        add: chunk => {
            if (bytes + chunk.length > maxBytes || !budget.take(chunk.length)) {
                return false;
            }
            bytes += chunk.length;
            chunks.push(chunk);
            return true;
        },
        read: () => Buffer.concat(chunks),
        close: () => {
            budget.give(bytes);
            chunks = [];
            bytes = 0;
        },
    };
}
