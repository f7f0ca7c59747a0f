/** TCP relay between the processes of a system, so that a scenario can cut the link between two of them. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/**
 * `forward` passes bytes on; `stall` holds them back until the link forwards again, as a partitioned network does;
 * `drop` discards them, and the connections that lost bytes are closed when the link forwards again; `refuse` closes
 * the connections.
 */
export type LinkMode = "forward" | "stall" | "drop" | "refuse";

export interface RelayLink {
    /** Process that opens the connections. */
    readonly from: string;
    readonly to: string;
}

export interface RunningRelay {
    readonly address: string;
    /** Sets the mode of a link, for open connections as well as for new ones. */
    readonly setLink: (link: RelayLink, mode: LinkMode) => void;
    readonly close: () => void;
}

interface RelayedConnection {
    readonly link: string;
    readonly target: string;
    readonly client: Socket;
    server: Socket | undefined;
    lostBytes: boolean;
}

interface RelayState {
    readonly modes: Map<string, LinkMode>;
    readonly connections: Set<RelayedConnection>;
    readonly findProcess: (address: string) => string | undefined;
}

const formatLink = (from: string, to: string): string => `${from}>${to}`;
const getMode = (state: RelayState, link: string): LinkMode => state.modes.get(link) ?? "forward";

/** Starts a relay. `findProcess` names the process that listens on an address. */
export async function startRelay(findProcess: (address: string) => string | undefined): Promise<RunningRelay> {
    const state: RelayState = { modes: new Map(), connections: new Set(), findProcess };
    const server = createServer({ noDelay: true }, client => readTarget(state, client));
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

/** Reads the first line, `<process> <address>`, and opens the connection to the target. */
function readTarget(state: RelayState, client: Socket): void {
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
        const link = formatLink(from, state.findProcess(target) ?? target);
        const connection: RelayedConnection = { link, target, client, server: undefined, lostBytes: false };
        state.connections.add(connection);
        applyMode(state, connection);
    };
    client.on("data", readChunk);
}

function setMode(state: RelayState, link: string, mode: LinkMode): void {
    state.modes.set(link, mode);
    [...state.connections].filter(connection => connection.link === link)
        .forEach(connection => applyMode(state, connection));
}

function applyMode(state: RelayState, connection: RelayedConnection): void {
    const { client, server } = connection;
    const mode = getMode(state, connection.link);
    const broken = connection.lostBytes || client.destroyed || server?.destroyed === true;
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
        openServer(state, connection);
    }
    // Without a server nothing reads the client's bytes, so that they are lost.
    connection.lostBytes ||= server === undefined && mode === "drop";
    client.resume();
    server?.resume();
}

function openServer(state: RelayState, connection: RelayedConnection): void {
    const [host = "", port = ""] = connection.target.split(":");
    const server = connect({ host, port: Number(port), noDelay: true });
    connection.server = server;
    forwardBytes(state, connection, connection.client, server);
    forwardBytes(state, connection, server, connection.client);
}

function forwardBytes(state: RelayState, connection: RelayedConnection, source: Socket, sink: Socket): void {
    source.on("data", (chunk: Buffer) => {
        if (getMode(state, connection.link) === "drop") {
            connection.lostBytes = true;
            return;
        }
        if (!sink.write(chunk)) {
            source.pause();
            sink.once("drain", () => applyMode(state, connection));
        }
    });
    // A peer behind a cut link does not see that the other side has closed.
    const passOn = (close: () => void) => (): void => {
        if (getMode(state, connection.link) === "forward") {
            close();
        }
    };
    source.on("end", passOn(() => sink.end()));
    source.on("error", passOn(() => closeConnection(connection)));
    source.on("close", passOn(() => state.connections.delete(connection)));
}

function closeConnection(connection: RelayedConnection): void {
    connection.client.resetAndDestroy();
    connection.server?.resetAndDestroy();
}
