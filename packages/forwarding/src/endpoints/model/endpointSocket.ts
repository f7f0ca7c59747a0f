import type { Duplex } from "node:stream";

/** Bytes from and to an endpoint. A `Socket` is one. */
export type EndpointStream = Duplex & {
    /** Number of bytes received from the endpoint. */
    readonly bytesRead: number;
};

/** An established connection to an endpoint. */
export interface EndpointSocket {
    readonly socket: EndpointStream;
    /** Peer that relays the connection; `undefined` for a direct one. */
    readonly relay?: string;
    /**
     * Returns whether the endpoint itself has ended the connection, once it has ended. An answer that ends with its
     * connection is whole only then: the end of a relayed connection may be that of the relaying host.
     */
    readonly checkEnd: () => Promise<boolean>;
    /** Returns whether the connection has ended, and it is not known that the endpoint has ended it. */
    readonly isCut: () => boolean;
}

/** Connects to the IP address and port of an endpoint. Rejects if no connection is established in time. */
export type EndpointConnector = (address: string) => Promise<EndpointSocket>;
