import type { Socket } from "node:net";

/** An established connection to an endpoint. */
export interface EndpointSocket {
    readonly socket: Socket;
    /** Peer that relays the connection; `undefined` for a direct one. */
    readonly relay?: string;
}

/** Connects to the IP address and port of an endpoint. Rejects if no connection is established in time. */
export type EndpointConnector = (address: string) => Promise<EndpointSocket>;
