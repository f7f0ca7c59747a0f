/** Health checks of the platform: a host whose peer port does not accept connections is removed from the host list. */
import type { ListedHost } from "@currantrill/protocol";
import { createConnection } from "node:net";
import type { PlatformState } from "../model/platformState.js";

const CHECK_INTERVAL_MS = 1_000;
const CONNECT_TIMEOUT_MS = 500;
/** Number of consecutive failed checks after which a host is removed. */
const FAILURES_BEFORE_REMOVAL = 3;

/** Checks every listed host once per interval until the process ends. */
export function startHostHealthChecks(state: PlatformState): void {
    const failureCounts = new Map<string, number>();
    const checkAllHosts = async (): Promise<void> => {
        for (const host of [...state.hosts.values()]) {
            const consecutiveFailures = await isReachable(host) ? 0 : (failureCounts.get(host.incarnation) ?? 0) + 1;
            failureCounts.set(host.incarnation, consecutiveFailures);
            if (
                consecutiveFailures >= FAILURES_BEFORE_REMOVAL
                && state.hosts.get(host.id)?.incarnation === host.incarnation
            ) {
                state.hosts.delete(host.id);
            }
        }
    };
    setInterval(() => void checkAllHosts(), CHECK_INTERVAL_MS).unref();
}

function isReachable(host: ListedHost): Promise<boolean> {
    const [address = "", port = ""] = host.peerAddress.split(":");
    return new Promise(resolve => {
        const socket = createConnection({ host: address, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
        const finish = (reachable: boolean): void => {
            socket.destroy();
            resolve(reachable);
        };
        socket.once("connect", () => finish(true));
        socket.once("timeout", () => finish(false));
        socket.once("error", () => finish(false));
    });
}
