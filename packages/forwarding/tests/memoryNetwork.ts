/**
 * Network between the hosts of one process, in memory: datagrams, and copies of tables over HTTP. All its delays are timers,
 * so that a fleet runs on a paused clock. It replaces modules by `vi.mock`.
 */
import type { HttpRequest, JsonResponse, Route, RunningServer, ServeHttpOptions } from "@currantrill/http";
import { createServer, type ServerResponse } from "node:http";
import { gunzipSync } from "node:zlib";
import type { MessageHandler, PeerSocket, PeerSocketOptions } from "../src/peers/commands/openPeerSocket.js";
import { decodeMessage, type MessageKind } from "../src/peers/queries/messageCodec.js";

/** Time that a datagram, a request or a response takes. */
const LATENCY_MS = 1;

const receivers = new Map<string, (data: Buffer) => void>();
const routes = new Map<string, readonly Route[]>();
let lastPort = 1_000;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Removes all hosts, which otherwise receive the messages of the next test. */
export function resetNetwork(): void {
    receivers.clear();
    routes.clear();
}

/** In place of the function of `openPeerSocket.ts`. */
export function openPeerSocket({ address, onDatagram }: PeerSocketOptions): Promise<PeerSocket> {
    const handlers = new Map<MessageKind, MessageHandler>();
    receivers.set(address, data => {
        onDatagram("received");
        const message = decodeMessage(data);
        if (message !== undefined) {
            handlers.get(message.kind)?.(message.fields, performance.now());
        }
    });
    return Promise.resolve({
        setHandler: (kind, handle) => void handlers.set(kind, handle),
        send: (data, targets) =>
            targets.forEach(target => {
                onDatagram("sent");
                setTimeout(() => receivers.get(target)?.(data), LATENCY_MS);
            }),
        close: () => void receivers.delete(address),
    });
}

/** In place of the function of `@currantrill/http`. Only `requestJson` reaches the server. */
export function serveHttp(options: ServeHttpOptions): Promise<RunningServer> {
    const address = `${options.host}:${options.port}`;
    routes.set(address, options.routes);
    return Promise.resolve({
        server: createServer(),
        port: options.port,
        countPending: () => 0,
        failIncomplete: () => undefined,
        drain: () => Promise.resolve(),
        close: () => Promise.resolve(void routes.delete(address)),
    });
}

/** In place of the function of `@currantrill/http`, for the route of the copies of tables. */
export async function requestJson(url: string): Promise<JsonResponse> {
    const { host, pathname, search } = new URL(url);
    await sleep(LATENCY_MS);
    const route = routes.get(host)?.find(each => each.path === "/tables/:name");
    if (route === undefined) {
        throw new Error(`no server at ${host}`);
    }
    const written: { status: number; data: Buffer; } = { status: 0, data: Buffer.alloc(0) };
    const response = {
        writeHead: (status: number) => void (written.status = status),
        end: (data: Buffer) => void (written.data = data),
    };
    const request = { params: { name: pathname.split("/").at(-1) ?? "" }, search };
    await route.handle(request as unknown as HttpRequest, response as unknown as ServerResponse);
    await sleep(LATENCY_MS);
    return { status: written.status, headers: {}, body: JSON.parse(gunzipSync(written.data).toString()) as unknown };
}

/** In place of the function of `@currantrill/standins`. No port is bound. */
export function findFreePorts(count: number): Promise<number[]> {
    return Promise.resolve(Array.from({ length: count }, () => {
        lastPort += 1;
        return lastPort;
    }));
}
