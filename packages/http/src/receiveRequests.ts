/** Receives the requests of a server: their bodies, their turn on their connections, and whether they get a response. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { ByteBudget } from "./byteBudget.js";
import type { BeginRequest, RequestQueues } from "./createRequestQueues.js";
import { createBodyError, type RawBody, readRawBody } from "./readRawBody.js";
import type { ResourceAccount } from "./resourceBudget.js";
import type { HttpRequest } from "./serveHttp.js";
import { describeUnanswered, type UnansweredRequest } from "./unansweredRequest.js";

/** An answered request counts as progress of its connection, however short the response was. */
const MIN_ANSWER_BYTES = 1_024;

/** Bodies that are being received, or have been, by their requests. */
export type RequestBodies = WeakMap<IncomingMessage, ReadingBody>;

export interface RequestReceiver {
    /** Bodies that are read as bytes. */
    readonly bodies: RequestBodies;
    /** Fails the requests whose bodies are incomplete, with an error with status 503 and type `server.stop`. */
    readonly failIncomplete: () => void;
}

export interface RequestReceiverOptions {
    readonly server: Server;
    readonly queues: RequestQueues;
    /** Returns the account of a connection, `undefined` if there was no room for the connection. */
    readonly getAccount: (socket: Duplex) => ResourceAccount | undefined;
    /** Whether bodies are read as bytes. Otherwise a handler reads them. */
    readonly isRaw: boolean;
    /** Returns the largest body, in bytes. */
    readonly getBodyLimit: () => number;
    /** Called when it is the turn of a request. */
    readonly begin: BeginRequest;
    /** Called for each request whose connection closes before its response has been sent in full. */
    readonly onUnanswered: (unanswered: UnansweredRequest) => void;
}

/** Starts to receive requests. */
export function receiveRequests(options: RequestReceiverOptions): RequestReceiver {
    const { server, queues, getAccount } = options;
    const bodies: RequestBodies = new WeakMap();
    const incomplete = new Set<ReadingBody>();
    server.on("request", (request, response) => {
        const account = getAccount(request.socket);
        if (account !== undefined) {
            receiveRequest(options, account, request, response, body => {
                bodies.set(request, body);
                incomplete.add(body);
                const remove = (): void => void incomplete.delete(body);
                body.done.then(remove, remove);
            });
        }
    });
    server.on("checkExpectation", (request, response) => {
        const account = getAccount(request.socket);
        if (account !== undefined) {
            queues.enqueue(request, response, { begin: rejectExpectation, budget: account.pay("request") });
        }
    });
    return { bodies, failIncomplete: () => incomplete.forEach(body => body.fail()) };
}

/** Queues a request, and starts to read its body if it is read as bytes. */
function receiveRequest(
    { queues, isRaw, getBodyLimit, begin, onUnanswered }: RequestReceiverOptions,
    account: ResourceAccount,
    request: IncomingMessage,
    response: ServerResponse,
    addBody: (body: ReadingBody) => void,
): void {
    const { pay } = account;
    const isFollowed = (): boolean => queues.hasWaiting(request.socket);
    Object.assign(request, { receivedAtMs: performance.now(), isFollowed, pay } satisfies Partial<HttpRequest>);
    response.once("close", () => {
        account.recordTransfer(MIN_ANSWER_BYTES);
        if (!response.writableFinished) {
            onUnanswered(describeUnanswered(request, true));
        }
    });
    const common = { begin, budget: pay("request") };
    const reportDropped = (): void => onUnanswered(describeUnanswered(request, false));
    if (!isRaw) {
        queues.enqueue(request, response, { ...common, drop: reportDropped, isBodyUnread: true });
        return;
    }
    const body = startReading(request, getBodyLimit(), pay("body"));
    addBody(body);
    const { getBytes: getBodyBytes, getReceivedBytes } = body;
    const drop = (): void => {
        body.drop();
        reportDropped();
    };
    queues.enqueue(request, response, { ...common, drop, getBodyBytes, getReceivedBytes });
}

/** A body that is being received, or has been. */
interface ReadingBody {
    readonly done: Promise<RawBody>;
    /** Rejects `done` with an error with status 503 and type `server.stop`, if it is incomplete. */
    readonly fail: () => void;
    /** Returns its memory to the budget once it has been received. */
    readonly drop: () => void;
    readonly getBytes: () => number;
    /** Returns the bytes that have been received, also those that are not kept. */
    readonly getReceivedBytes: () => number;
}

/**
 * Starts reading a body when its head arrives, also if the request has to wait. Pieces that are not read would be kept as
 * objects: 64 KiB in chunks of one byte take 5 MB.
 */
function startReading(request: IncomingMessage, limitBytes: number, payer: ByteBudget): ReadingBody {
    const budget = createPartialBudget(payer);
    let readBytes = 0;
    const onPiece = (bytes: number): void => void (readBytes += bytes);
    const read = readRawBody(request, { limitBytes, budget, onPiece });
    const drop = (): void => void read.then(({ release }) => release(), () => undefined);
    let fail = (): void => undefined;
    const failed = new Promise<never>((_resolve, reject) => {
        fail = () => {
            reject(createBodyError(503, "server.stop", "the server stops before the body has been received"));
            drop();
        };
    });
    const done = Promise.race([read, failed]);
    // The error is handled when it is the request's turn, which may be never.
    done.catch(() => undefined);
    return {
        done,
        fail,
        drop,
        getBytes: () => budget.getUsed() + request.readableLength,
        getReceivedBytes: () => readBytes + request.readableLength,
    };
}

/** Counts what one body takes from the budget of its connection. */
function createPartialBudget(payer: ByteBudget): ByteBudget {
    let used = 0;
    return {
        take: bytes => {
            const isTaken = payer.take(bytes);
            used += isTaken ? bytes : 0;
            return isTaken;
        },
        give: bytes => {
            used -= bytes;
            payer.give(bytes);
        },
        getUsed: () => used,
    };
}

/**
 * Sends what Node.js would send without a listener. Its own response is not in the queue, so the requests after it would be
 * taken for requests of an ended connection.
 */
function rejectExpectation(_request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(417);
    response.end();
}
