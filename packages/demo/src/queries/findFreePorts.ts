import { createServer, type Server } from "node:net";

/** Below the range from which the operating system takes the ports of outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
const MAX_TRIES = 20;

/** Finds free ports on 127.0.0.1 in one random block, so that two systems started at the same time differ. */
export async function findFreePorts(count: number): Promise<number[]> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
        const first = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT - count));
        const ports = Array.from({ length: count }, (_unused, index) => first + index);
        const results = await Promise.allSettled(ports.map(openServer));
        const servers = results.flatMap(result => result.status === "fulfilled" ? [result.value] : []);
        await Promise.all(servers.map(closeServer));
        if (servers.length === count) {
            return ports;
        }
    }
    throw new Error(`found no ${count} free ports in a row between ${FIRST_PORT} and ${LAST_PORT}`);
}

function openServer(port: number): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => server.close(() => resolve()));
}
