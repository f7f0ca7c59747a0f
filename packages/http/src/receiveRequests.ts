/** Receives the requests of a server: their bodies, their turn on their connections, and whether they get a response. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { ByteBudget } from "./byteBudget.js";
import type { BeginRequest, RequestQueues } from "./createRequestQueues.js";
import { type RawBody, readRawBody } from "./readRawBody.js";
import type { ResourceAccount } from "./resourceBudget.js";
import type { HttpRequest } from "./serveHttp.js";
import { describeUnanswered, type UnansweredRequest } from "./unansweredRequest.js";

/** An answered request counts as progress of its connection, however short the response was. */
const MIN_ANSWER_BYTES = 1_024;

/** Bodies that are being received, or have been, by their requests. */
export type RequestBodies = WeakMap<IncomingMessage, ReadingBody>;

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

/** Starts to receive requests, and returns the raw bodies. */
export function receiveRequests(options: RequestReceiverOptions): RequestBodies {
    const { server, queues, getAccount } = options;
    const bodies: RequestBodies = new WeakMap();
    server.on("request", (request, response) => {
        const account = getAccount(request.socket);
        if (account !== undefined) {
            receiveRequest(options, account, bodies, request, response);
        }
    });
    server.on("checkExpectation", (request, response) => {
        const account = getAccount(request.socket);
        if (account !== undefined) {
            queues.enqueue(request, response, { begin: rejectExpectation, budget: account.pay("request") });
        }
    });
    return bodies;
}

function receiveRequest(
    { queues, isRaw, getBodyLimit, begin, onUnanswered }: RequestReceiverOptions,
    account: ResourceAccount,
    bodies: RequestBodies,
    request: IncomingMessage,
    response: ServerResponse,
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
    bodies.set(request, body);
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
    const done = readRawBody(request, { limitBytes, budget, onPiece });
    const drop = (): void => void done.then(({ release }) => release(), () => undefined);
    // The error is handled when it is the request's turn, which may be never.
    done.catch(() => undefined);
    return {
        done,
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
