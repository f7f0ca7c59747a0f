import { createServer } from "node:net";
import { threadId } from "node:worker_threads";

/**
 * Ports below the range that operating systems use for outgoing connections. A port of that range could be taken by
 * an outgoing connection between the search and its use, which made starts of hosts fail now and then.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/** Start of the search, different for each process and thread, so that searches at the same time rarely meet. */
let nextOffset = (process.pid * 97 + threadId * 997) % PORT_COUNT;

/** Finds ports on 127.0.0.1 that are free now. No port is returned twice until the range is used up. */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = FIRST_PORT + nextOffset;
        nextOffset = (nextOffset + 1) % PORT_COUNT;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
