import { advanceStart } from "@currantrill/core";
import { toHostId } from "@currantrill/protocol";
import { WebSocket } from "ws";
import type { HostContext } from "../../model/hostContext.js";
import type { DialState, PeerConnection } from "../model/fleet.js";
import { registerSocket } from "./registerSocket.js";

const HANDSHAKE_TIMEOUT_MS = 2_000;
const BACKOFF_BASE_MS = 500;
const BACKOFF_MAX_MS = 10_000;
/** Largest message that a peer connection accepts, whichever side has opened it. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * Opens a connection to a peer address. Does nothing while the socket of the last attempt is opening or open, or
 * its backoff has not elapsed; `onConnected` is then not called.
 */
export function openConnection(
    context: HostContext,
    address: string,
    onConnected?: (connection: PeerConnection) => void,
): void {
    const now = performance.now();
    const dial = context.fleet.dialStates.get(address) ?? { failures: 0, nextAttemptAtMs: 0, isOpening: false };
    context.fleet.dialStates.set(address, dial);
    if (dial.isOpening || now < dial.nextAttemptAtMs) {
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
            isOutbound: true,
            onConnected: connection => {
                dial.failures = 0;
                onConnected?.(connection);
            },
        });
    });
    socket.once("error", error => context.log.debug({ err: error, address }, "peers: cannot connect"));
    socket.once("close", () => scheduleNextAttempt(context, address, dial));
}

/**
 * Sets the time of the next attempt: exponential backoff with full jitter, so that not all hosts connect to a
 * recovering domain at the same time. Records for a seed at startup that its snapshot has failed.
 */
function scheduleNextAttempt(context: HostContext, address: string, dial: DialState): void {
    const ceilingMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** dial.failures);
    dial.isOpening = false;
    dial.failures += 1;
    dial.nextAttemptAtMs = performance.now() + Math.random() * ceilingMs;
    const state = context.configuration;
    const peer = toHostId(address);
    if (state.start.seeds.get(peer) === "asked") {
        state.start = advanceStart(state.start, { type: "snapshotFailed", peer });
    }
}
