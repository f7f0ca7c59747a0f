/** One process of an endpoint, which a test can end, silence, or make reset its connections. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** A request as an endpoint receives it. */
export interface ProcessRequest {
    readonly method: string;
    readonly target: string;
    /** Workspace of the caller, if the route has workspaces. */
    readonly workspace: string | undefined;
    readonly body: string;
}

export interface ProcessOptions {
    readonly id: string;
    /** Whether answers are streams of events, unless their status is an error. */
    readonly isStream: boolean;
    readonly answerStatus: number;
    /** Time from the arrival of a request until its answer is complete. */
    readonly answerMs: number;
    /** Called for each request, load reports excepted, before it runs. Returns whether its answer is ever complete. */
    readonly onRequest: (received: ProcessRequest) => boolean;
}

export interface EndpointProcess {
    readonly address: string;
    /** Returns the number of requests in progress that match. */
    readonly countRunning: (matches: (received: ProcessRequest) => boolean) => number;
    /** Resets the connections of all requests in progress. The process runs on. */
    readonly resetConnections: () => void;
    /** Makes the process accept connections but write nothing, reports included, for a time. */
    readonly stopAnswers: (durationMs: number) => void;
    /** Ends the process: its connections are closed, and its address refuses new ones. */
    readonly end: () => void;
}

export const STREAM_EVENTS = 4;

const wait = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

/** Starts a process on a free port of the loopback address. */
export async function startEndpointProcess(options: ProcessOptions): Promise<EndpointProcess> {
    const running = new Map<ProcessRequest, Socket>();
    let silence = Promise.resolve();
    const run = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        await silence;
        if (request.url === "/report") {
            response.end("{}");
            return;
        }
        const received: ProcessRequest = {
            method: request.method ?? "",
            target: request.url ?? "",
            workspace: request.headers["t-workspace"]?.toString(),
            body: Buffer.concat(chunks).toString(),
        };
        running.set(received, request.socket);
        const isCompleted = options.onRequest(received);
        const headers = { "t-id": request.headers["t-id"] ?? "", "t-signature": options.id };
        if (options.isStream && options.answerStatus === 200) {
            await writeEvents(response, headers);
        }
        else if (isCompleted) {
            await wait(options.answerMs);
            await silence;
            response.writeHead(options.answerStatus, headers);
            response.write("answer");
        }
        if (!isCompleted) {
            return;
        }
        response.end();
        running.delete(received);
    };
    const writeEvents = async (response: ServerResponse, headers: Record<string, string | string[]>): Promise<void> => {
        response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
        response.flushHeaders();
        for (let id = 1; id <= STREAM_EVENTS; id += 1) {
            await wait(options.answerMs / STREAM_EVENTS);
            await silence;
            response.write(`id: ${id}\ndata: e${id}\n\n`);
        }
    };
    // A request whose connection is gone before its body has arrived was not run.
    const server = createServer((request, response) => void run(request, response).catch(() => undefined));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        countRunning: matches =>
            [...running].filter(([received, socket]) => !socket.destroyed && matches(received)).length,
        resetConnections: () => running.forEach(socket => socket.resetAndDestroy()),
        stopAnswers: durationMs => {
            silence = wait(durationMs);
        },
        end: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
