import { type AddressInfo, createServer, type Server } from "node:net";

/** Finds free ports on 127.0.0.1. They are free when the call returns, which is all that an operating system promises. */
export async function findFreePorts(count: number): Promise<number[]> {
    const servers = await Promise.all(Array.from({ length: count }, openServer));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(closeServer));
    return ports;
}

function openServer(): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => server.close(() => resolve()));
}
