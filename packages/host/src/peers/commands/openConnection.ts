import { advanceStart } from "@currantrill/core";
import { toHostId } from "@currantrill/protocol";
import { WebSocket } from "ws";
import type { HostContext } from "../../model/hostContext.js";
import type { Dial, PeerConnection } from "../model/fleet.js";
import { registerSocket } from "./registerSocket.js";

const HANDSHAKE_TIMEOUT_MS = 2_000;
const BACKOFF_BASE_MS = 500;
const BACKOFF_MAX_MS = 10_000;
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Opens a connection to an address unless one is being opened or the backoff of the last failure still runs. */
export function openConnection(
    context: HostContext,
    address: string,
    onConnected?: (connection: PeerConnection) => void,
): void {
    const now = performance.now();
    const dial = context.fleet.dials.get(address) ?? { failures: 0, nextAtMs: 0, isOpening: false };
    context.fleet.dials.set(address, dial);
    if (dial.isOpening || now < dial.nextAtMs) {
        return;
    }
    dial.isOpening = true;
    const socket = new WebSocket(`ws://${address}`, {
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
        maxPayload: MAX_MESSAGE_BYTES,
        perMessageDeflate: false,
    });
    socket.once("open", () => {
        registerSocket(context, socket, {
            isOwn: true,
            onConnected: connection => {
                dial.failures = 0;
                onConnected?.(connection);
            },
        });
    });
    socket.once("error", error => context.log.debug({ err: error, address }, "peers: cannot connect"));
    socket.once("close", () => scheduleNextDial(context, address, dial));
}

/** Sets the time of the next try: exponential with full jitter, so that a recovering domain is not met by all at once. */
function scheduleNextDial(context: HostContext, address: string, dial: Dial): void {
    const ceilingMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** dial.failures);
    dial.isOpening = false;
    dial.failures += 1;
    dial.nextAtMs = performance.now() + Math.random() * ceilingMs;
    const holder = context.configuration;
    const peer = toHostId(address);
    if (holder.start.seeds.get(peer) === "asked") {
        holder.start = advanceStart(holder.start, { type: "snapshotFailed", peer });
    }
}
