/**
 * Loaded with `--import` into every process that the demo starts, before the actual program. It kills the process when
 * its standard input closes, that is when the demo has exited, so that a crash of the demo leaves no orphaned process. If
 * `DEMO_RELAY` is set, it also routes the outgoing connections through the fault-injecting TCP proxy at that address.
 */
import { Socket } from "node:net";

/** The part of the options of `Socket.connect` that is replaced. */
interface ConnectTarget {
    readonly host?: string;
    readonly port?: number | string;
}

process.stdin.once("close", () => process.kill(process.pid, "SIGKILL"));
process.stdin.resume();
(process.stdin as Partial<Socket>).unref?.();

const [proxyHost, proxyPort] = process.env["DEMO_RELAY"]?.split(":") ?? [];
if (proxyHost !== undefined) {
    routeConnections(proxyHost, Number(proxyPort));
}

/** Connects each socket to the proxy instead, and sends it a first line with the process name and the actual target. */
function routeConnections(host: string, port: number): void {
    // eslint-disable-next-line @typescript-eslint/unbound-method -- called with the socket as `this`
    const connectDirectly = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket;
    Socket.prototype.connect = function(this: Socket, ...args: unknown[]): Socket {
        const target = setProxyTarget(args, { host, port });
        const socket = connectDirectly.apply(this, args);
        if (target !== undefined) {
            socket.write(`${process.env["DEMO_PROCESS"] ?? ""} ${target}\n`);
        }
        return socket;
    };
}

/**
 * Replaces the target in the arguments of `Socket.connect`. Returns the original target, or `undefined` if it is not a
 * TCP port. `net.connect` passes `[options, callback]` as one argument. The options object belongs to the caller, so a
 * copy is changed.
 */
function setProxyTarget(args: unknown[], proxy: ConnectTarget): string | undefined {
    const targetArgs = Array.isArray(args[0]) ? args[0] as unknown[] : args;
    const options = targetArgs[0] as ConnectTarget | undefined;
    if (typeof options !== "object" || options.port === undefined) {
        return undefined;
    }
    targetArgs[0] = { ...options, ...proxy };
    return `${options.host ?? "127.0.0.1"}:${options.port}`;
}
