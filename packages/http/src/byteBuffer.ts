import type { ByteBudget } from "./byteBudget.js";

/**
 * Collects the bytes of a message that arrives in chunks of any size. Its memory is at most twice its bytes plus
 * `MIN_BLOCK_BYTES`, however small the chunks are, and each byte is copied at most twice.
 */
export interface ByteBuffer {
    /** Copies a chunk to the end. Returns `false`, without copying it, if it exceeds the limit or the budget. */
    readonly append: (chunk: Uint8Array) => boolean;
    /** Returns the number of bytes. */
    readonly getLength: () => number;
    /** Returns the bytes so far. They stay valid after `clear`. */
    readonly read: () => Buffer;
    /** Drops the bytes and returns their memory to the budget. The buffer can be used again. */
    readonly clear: () => void;
}

export interface ByteBufferOptions {
    readonly maxBytes: number;
    /** Pays for the memory that is allocated. Without it, only `maxBytes` limits the buffer. */
    readonly budget?: ByteBudget;
}

/** First block. Most responses and orders fit into it. */
const MIN_BLOCK_BYTES = 1_024;
/** Each further block is as large as all before together, up to this size. */
const MAX_BLOCK_BYTES = 65_536;

/** Creates an empty buffer, which allocates nothing before the first chunk. */
export function createByteBuffer({ maxBytes, budget }: ByteBufferOptions): ByteBuffer {
    let blocks: Buffer[] = [];
    let capacity = 0;
    let length = 0;
    const addBlock = (minBytes: number): boolean => {
        const growth = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, capacity), maxBytes - capacity);
        const size = Math.max(minBytes, growth);
        if (budget?.take(size) === false) {
            return false;
        }
        // Not from the shared pool of Node.js, whose slices keep 8 KB alive each.
        blocks.push(Buffer.allocUnsafeSlow(size));
        capacity += size;
        return true;
    };
    return {
        append: chunk => {
            if (length + chunk.length > maxBytes) {
                return false;
            }
            const free = capacity - length;
            const last = blocks.at(-1);
            const missing = chunk.length - free;
            if (missing > 0 && !addBlock(missing)) {
                return false;
            }
            last?.set(chunk.subarray(0, free), last.length - free);
            if (missing > 0) {
                blocks.at(-1)?.set(chunk.subarray(free));
            }
            length += chunk.length;
            return true;
        },
        getLength: () => length,
        read: () => {
            if (blocks.length > 1) {
                // Replaces the blocks, so that the bytes are not held twice.
                blocks = [Buffer.concat(blocks, length)];
                budget?.give(capacity - length);
                capacity = length;
            }
            return blocks[0]?.subarray(0, length) ?? Buffer.alloc(0);
        },
        clear: () => {
            budget?.give(capacity);
            blocks = [];
            capacity = 0;
            length = 0;
        },
    };
}
