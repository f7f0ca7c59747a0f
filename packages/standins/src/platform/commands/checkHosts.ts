/** The platform's own health check: a host whose peer port refuses connections is dropped from the list. */
import type { ListedHost } from "@currantrill/protocol";
import { createConnection } from "node:net";
import type { PlatformState } from "../model/platformState.js";

const CHECK_INTERVAL_MS = 1_000;
const CONNECT_TIMEOUT_MS = 500;
/** Failed checks in a row until a host is dropped. */
const FAILURES_TO_DROP = 3;

/** Starts the check. */
export function startHostCheck(state: PlatformState): void {
    const failures = new Map<string, number>();
    const checkAll = async (): Promise<void> => {
        for (const host of [...state.hosts.values()]) {
            const failed = await isReachable(host) ? 0 : (failures.get(host.incarnation) ?? 0) + 1;
            failures.set(host.incarnation, failed);
            if (failed >= FAILURES_TO_DROP && state.hosts.get(host.id)?.incarnation === host.incarnation) {
                state.hosts.delete(host.id);
            }
        }
    };
    setInterval(() => void checkAll(), CHECK_INTERVAL_MS).unref();
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
