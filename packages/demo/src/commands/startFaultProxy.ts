/** Fault-injecting TCP proxy between the processes of a system, for network partitions between two of them. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/**
 * How the proxy treats the bytes on a link. `forward` forwards them. `stall` holds them back until the mode is `forward`
 * again, as a network partition does. `drop` discards them; connections that lost bytes are closed when the mode is
 * `forward` again. `refuse` closes the connections.
 */
export type LinkMode = "forward" | "stall" | "drop" | "refuse";

/** Direction between two processes, by name. Both directions of a connection belong to the link of its client. */
export interface ProxyLink {
    /** Name of the process that opens the connections. */
    readonly from: string;
    /** Name of the process that accepts the connections. */
    readonly to: string;
}

/** A running proxy; every link starts in the mode `forward`. */
export interface RunningFaultProxy {
    /** `ip:port` to which the processes connect. */
    readonly address: string;
    /** Sets the mode of a link for open and new connections. */
    readonly setLink: (link: ProxyLink, mode: LinkMode) => void;
    readonly close: () => void;
}

/** Connection of a client, and of the proxy to the target (`server`) once it is open. */
interface ProxiedConnection {
    readonly link: string;
    readonly target: string;
    readonly client: Socket;
    server: Socket | undefined;
    hasLostBytes: boolean;
}

interface FaultProxyState {
    readonly modes: Map<string, LinkMode>;
    readonly connections: Set<ProxiedConnection>;
    readonly findProcessName: (address: string) => string | undefined;
}

const formatLink = (from: string, to: string): string => `${from}>${to}`;
const getMode = (state: FaultProxyState, link: string): LinkMode => state.modes.get(link) ?? "forward";

/** Starts the proxy. `findProcessName` returns the name of the process that listens on an address. */
export async function startFaultProxy(
    findProcessName: (address: string) => string | undefined,
): Promise<RunningFaultProxy> {
    const state: FaultProxyState = { modes: new Map(), connections: new Set(), findProcessName };
    const server = createServer({ noDelay: true }, client => readProxyHeader(state, client));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        setLink: ({ from, to }, mode) => setMode(state, formatLink(from, to), mode),
        close: () => {
            state.connections.forEach(closeConnection);
            server.close();
        },
    };
}

/** Reads the first line, `<process> <target address>`, and opens the connection to the target if the link's mode allows. */
function readProxyHeader(state: FaultProxyState, client: Socket): void {
    client.on("error", () => client.destroy());
    let head = Buffer.alloc(0);
    const readChunk = (chunk: Buffer): void => {
        head = Buffer.concat([head, chunk]);
        const end = head.indexOf("\n");
        if (end < 0) {
            return;
        }
        client.off("data", readChunk);
        client.pause();
        client.unshift(head.subarray(end + 1));
        const [from = "", target = ""] = head.toString("latin1", 0, end).split(" ");
        const link = formatLink(from, state.findProcessName(target) ?? target);
        const connection: ProxiedConnection = { link, target, client, server: undefined, hasLostBytes: false };
        state.connections.add(connection);
        applyMode(state, connection);
    };
    client.on("data", readChunk);
}

function setMode(state: FaultProxyState, link: string, mode: LinkMode): void {
    state.modes.set(link, mode);
    [...state.connections].filter(connection => connection.link === link)
        .forEach(connection => applyMode(state, connection));
}

function applyMode(state: FaultProxyState, connection: ProxiedConnection): void {
    const { client, server } = connection;
    const mode = getMode(state, connection.link);
    const broken = connection.hasLostBytes || client.destroyed || server?.destroyed === true;
    if (mode === "refuse" || (mode === "forward" && broken)) {
        closeConnection(connection);
        return;
    }
    if (mode === "stall") {
        client.pause();
        server?.pause();
        return;
    }
    if (server === undefined && mode === "forward") {
        connectToTarget(state, connection);
    }
    // As long as the connection to the target is not open, nothing reads the client's bytes, so they are lost.
    connection.hasLostBytes ||= server === undefined && mode === "drop";
    client.resume();
    server?.resume();
}

function connectToTarget(state: FaultProxyState, connection: ProxiedConnection): void {
    const [host = "", port = ""] = connection.target.split(":");
    const server = connect({ host, port: Number(port), noDelay: true });
    connection.server = server;
    forwardBytes(state, connection, connection.client, server);
    forwardBytes(state, connection, server, connection.client);
}

function forwardBytes(state: FaultProxyState, connection: ProxiedConnection, source: Socket, sink: Socket): void {
    source.on("data", (chunk: Buffer) => {
        if (getMode(state, connection.link) === "drop") {
            connection.hasLostBytes = true;
            return;
        }
        if (!sink.write(chunk)) {
            source.pause();
            sink.once("drain", () => applyMode(state, connection));
        }
    });
    // While the link does not forward, a peer does not notice that the other side has closed the connection.
    const createCloseHandler = (close: () => void) => (): void => {
        if (getMode(state, connection.link) === "forward") {
            close();
        }
    };
    source.on("end", createCloseHandler(() => sink.end()));
    source.on("error", createCloseHandler(() => closeConnection(connection)));
    source.on("close", createCloseHandler(() => state.connections.delete(connection)));
}

function closeConnection(connection: ProxiedConnection): void {
    connection.client.resetAndDestroy();
    connection.server?.resetAndDestroy();
}
