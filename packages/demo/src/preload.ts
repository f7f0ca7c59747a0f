/**
 * Loaded into every process that the demo starts, before its own program. It ends the process when the demo is gone,
 * so that no failure of the demo leaves an orphan, and sends its connections through the relay if there is one.
 */
import { Socket } from "node:net";

interface ConnectTarget {
    readonly host?: string;
    readonly port?: number | string;
}

process.stdin.once("close", () => process.kill(process.pid, "SIGKILL"));
process.stdin.resume();
(process.stdin as Partial<Socket>).unref?.();

const [relayHost, relayPort] = process.env["DEMO_RELAY"]?.split(":") ?? [];
if (relayHost !== undefined) {
    relayConnections(relayHost, Number(relayPort));
}

/** Replaces the target of each connection by the relay, whose first line names the process and the real target. */
function relayConnections(host: string, port: number): void {
    // eslint-disable-next-line @typescript-eslint/unbound-method -- called with the socket as `this`
    const connectDirectly = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket;
    Socket.prototype.connect = function(this: Socket, ...args: unknown[]): Socket {
        const target = setTarget(args, { host, port });
        const socket = connectDirectly.apply(this, args);
        if (target !== undefined) {
            socket.write(`${process.env["DEMO_PROCESS"] ?? ""} ${target}\n`);
        }
        return socket;
    };
}

/** `net.connect` passes `[options, callback]` as one argument. The options belong to the caller and are not changed. */
function setTarget(args: unknown[], relay: ConnectTarget): string | undefined {
    const holder = Array.isArray(args[0]) ? args[0] as unknown[] : args;
    const options = holder[0] as ConnectTarget | undefined;
    if (typeof options !== "object" || options.port === undefined) {
        return undefined;
    }
    holder[0] = { ...options, ...relay };
    return `${options.host ?? "127.0.0.1"}:${options.port}`;
}
