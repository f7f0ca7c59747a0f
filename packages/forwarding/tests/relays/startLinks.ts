/** The paths from one host to endpoints, which a test can cut while the endpoints stay reachable for other hosts. */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { connectSocket, type PendingSocket, type SocketConnector } from "../../src/endpoints/commands/connectSocket.js";

/**
 * How a path is lost. `hanging`: bytes and new connections get no reply; `reset`: connections are reset, new ones refused;
 * `refusing`: new ones are refused, open ones live on.
 */
export type LinkFault = "hanging" | "reset" | "refusing";

export interface Links {
    readonly connect: SocketConnector;
    /** Cuts the paths to some endpoints, by default to all. */
    readonly cut: (fault: LinkFault, addresses?: readonly string[]) => void;
    readonly heal: () => void;
    /** Returns the number of connections that the host has opened directly. */
    readonly countConnected: () => number;
    readonly close: () => void;
}

interface Path {
    readonly server: Server;
    readonly pairs: Set<readonly [Socket, Socket]>;
    fault: LinkFault | undefined;
}

const failLater = (code: string, afterMs: number): PendingSocket => ({
    connected: new Promise((_resolve, reject) =>
        setTimeout(() => reject(Object.assign(new Error(`connect ${code}`), { code })), afterMs)
    ),
    cancel: () => undefined,
});

/** Time limit of a connection. */
const HANGING_MS = 500;

const connectFaults: Readonly<Record<LinkFault, () => PendingSocket>> = {
    hanging: () => failLater("ETIMEDOUT", HANGING_MS),
    reset: () => failLater("ECONNREFUSED", 1),
    refusing: () => failLater("ECONNREFUSED", 1),
};

const pairFaults: Readonly<Record<LinkFault, (pair: readonly [Socket, Socket]) => void>> = {
    hanging: pair =>
        pair.forEach(socket => {
            socket.removeAllListeners("data").removeAllListeners("end").pause();
        }),
    reset: pair => pair.forEach(socket => void socket.resetAndDestroy()),
    refusing: () => undefined,
};

async function startPath(address: string): Promise<Path> {
    const [host = "", port = "0"] = address.split(":");
    const pairs: Path["pairs"] = new Set();
    const server = createServer({ allowHalfOpen: true }, near => {
        const far = connect({ host, port: Number(port), allowHalfOpen: true });
        const pair = [near, far] as const;
        pairs.add(pair);
        for (const [from, to] of [[near, far], [far, near]] as const) {
            from.on("data", bytes => void to.write(bytes));
            from.on("end", () => void to.end());
            from.on("error", () => undefined);
            from.on("close", () => {
                to.destroy();
                pairs.delete(pair);
            });
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, pairs, fault: undefined };
}

export async function startLinks(addresses: readonly string[]): Promise<Links> {
    const paths = new Map<string, Path>();
    for (const address of addresses) {
        paths.set(address, await startPath(address));
    }
    let connected = 0;
    return {
        connect: address => {
            const path = paths.get(address);
            if (path?.fault !== undefined) {
                return connectFaults[path.fault]();
            }
            connected += 1;
            return connectSocket(`127.0.0.1:${(path?.server.address() as AddressInfo).port}`);
        },
        cut: (fault, cut = addresses) =>
            cut.forEach(address => {
                const path = paths.get(address)!;
                path.fault = fault;
                path.pairs.forEach(pairFaults[fault]);
            }),
        heal: () => paths.forEach(path => void (path.fault = undefined)),
        countConnected: () => connected,
        close: () =>
            paths.forEach(({ server, pairs }) => {
                pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
                server.close();
            }),
    };
}
