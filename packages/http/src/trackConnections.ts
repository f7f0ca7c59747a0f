import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { closeConnection } from "./closeConnection.js";
import type { RequestQueues } from "./createRequestQueues.js";
import type { ResourceAccount, ResourceBudget } from "./resourceBudget.js";
import { resumeConnection } from "./resumeConnection.js";

/** Objects of a connection: socket, HTTP parser, listeners and queue. */
const CONNECTION_BYTES = 16 * 1024;
/**
 * Memory for each byte of a head that has not been received in full. The parser keeps its bytes, and a string for each
 * name and value of a field: fields of four bytes, the shortest ones, take some 40 bytes each.
 */
const HEAD_FACTOR = 10;
/**
 * Bytes that are parsed at once. A read of 64 KiB can contain over 2,000 requests, which have objects of 10 MB before any of
 * them can be refused.
 */
const SLICE_BYTES = 1_024;

export interface ConnectionTrackerOptions {
    readonly server: Server;
    readonly budget: ResourceBudget;
    /** Returns the limit of the HTTP parser on a head. */
    readonly getMaxHeadBytes: () => number;
    readonly queues: Pick<
        RequestQueues,
        "isWaitingForHost" | "limitReading" | "countHeads" | "getReceiving" | "countBodyBytes"
    >;
}

export interface ConnectionTracker {
    /** Returns the account of a connection, `undefined` if there was no room for the connection. */
    readonly getAccount: (socket: Duplex) => ResourceAccount | undefined;
}

type ParseChunk = (chunk: Buffer) => void;

/**
 * Opens an account for each connection, and pays for what it sends before the HTTP parser gets it: the parser keeps a head
 * that is incomplete without any event. Bytes of a connection that is being closed are dropped.
 */
export function trackConnections(options: ConnectionTrackerOptions): ConnectionTracker {
    const { server, budget, queues } = options;
    const accounts = new WeakMap<Duplex, ResourceAccount>();
    server.on("connection", (socket: Socket) => {
        const getHeadBytes = (): number => account?.pay("head").getUsed() ?? 0;
        const isWaitingForHost = (): boolean =>
            queues.isWaitingForHost(socket) && socket.readableLength === 0
            // The last slice of a request is paid for until the next one.
            && getHeadBytes() <= SLICE_BYTES * HEAD_FACTOR;
        const account = budget.open(
            { isWaitingForHost, close: () => closeConnection(socket, "budget") },
            CONNECTION_BYTES,
        );
        if (account === undefined) {
            closeConnection(socket, "budget");
            return;
        }
        accounts.set(socket, account);
        socket.once("close", account.close);
        socket.on("drain", () => account.recordTransfer(socket.writableHighWaterMark));
        trackSocket(options, socket, account);
    });
    return { getAccount: socket => accounts.get(socket) };
}

function trackSocket(
    { queues, getMaxHeadBytes }: ConnectionTrackerOptions,
    socket: Socket,
    account: ResourceAccount,
): void {
    const head = account.pay("head");
    const maxPaid = getMaxHeadBytes() * HEAD_FACTOR;
    const takeHead = (bytes: number): boolean => {
        const missing = Math.min(bytes * HEAD_FACTOR, maxPaid - head.getUsed());
        return missing <= 0 || head.take(missing);
    };
    /** Parses bytes. Returns `false` if there is no room for what the parser keeps of them. */
    const parseSlice = (slice: Buffer): boolean => {
        const receiving = queues.getReceiving(socket);
        const isPaid = receiving !== undefined && receiving.headers["transfer-encoding"] === undefined;
        const paidBefore = head.getUsed();
        if (!isPaid && !takeHead(slice.length)) {
            return false;
        }
        const heads = queues.countHeads(socket);
        const bodyBytes = queues.countBodyBytes(socket);
        parsers.forEach(parse => parse(slice));
        if (heads !== queues.countHeads(socket) || receiving?.complete === true) {
            // The head has become a request, which pays for its objects. The rest of the slice may belong to another head.
            head.give(head.getUsed());
            return takeHead(slice.length);
        }
        if (receiving !== undefined && queues.countBodyBytes(socket) > bodyBytes) {
            // A slice with a part of a body, which pays for itself. The parser only keeps what belongs to trailers.
            head.give(head.getUsed() - paidBefore);
        }
        return true;
    };
    // With a listener, Node.js reads into buffers instead of passing the bytes to the parser itself.
    const parsers = socket.listeners("data") as ParseChunk[];
    socket.removeAllListeners("data");
    /** The pieces of a body are objects until its reader has got them. */
    const waitForReader = (rest: Buffer): void => {
        socket.pause();
        socket.unshift(rest);
        // A paused reader, and one that has not begun to read, resumes the connection itself.
        if (queues.getReceiving(socket)?.readableFlowing === true) {
            setImmediate(() => resumeConnection(socket));
        }
    };
    const parseChunk = (chunk: Buffer): void => {
        for (let start = 0; start < chunk.length && !socket.destroyed; start += SLICE_BYTES) {
            const rest = chunk.subarray(start);
            if (socket.isPaused()) {
                socket.unshift(rest);
                return;
            }
            if ((queues.getReceiving(socket)?.readableLength ?? 0) > 0) {
                waitForReader(rest);
                return;
            }
            if (!parseSlice(rest.subarray(0, SLICE_BYTES))) {
                closeConnection(socket, "budget");
            }
            queues.limitReading(socket);
        }
    };
    let countedBytes = 0;
    socket.on("data", (chunk: Buffer) => {
        // Bytes that were put back come again, and are no progress of the caller.
        account.recordTransfer(socket.bytesRead - countedBytes);
        countedBytes = socket.bytesRead;
        parseChunk(chunk);
    });
}
