import type { Socket } from "node:net";
import type { EndpointSocket } from "../model/endpointSocket.js";
import { detectReset } from "./detectReset.js";

/** Describes a direct connection: only the endpoint can end it, or reset it. */
export const toDirectConnection = (socket: Socket): EndpointSocket => ({
    socket,
    isCut: () => false,
    checkEnd: async () => !await detectReset(socket),
});
