/** Formats of the bytes that a relaying host passes on from an endpoint to the host that asked for the connection. */

/**
 * `raw`: as they are, as earlier builds send them; the end of the connection says only that some process has ended it.
 * `framed`: in frames, and a mark once the endpoint itself has ended or reset its connection.
 */
export type TunnelFormat = "raw" | "framed";

/** Header of a CONNECT request that names the format which the host can read, and of the response if it is used. */
export const TUNNEL_FORMAT_HEADER = "relay-format";

/** Returns the format that a request offers, or that a response confirms. Builds without formats send `raw`. */
export const parseTunnelFormat = (header: string | string[] | undefined): TunnelFormat =>
    header === "framed" ? "framed" : "raw";

/** A frame begins with the number of its bytes, as an unsigned integer in network byte order. */
export const FRAME_HEADER_BYTES = 4;
/** How an endpoint has ended its connection. */
export type EndpointEnd = "end" | "reset";

/** Lengths that stand for an end instead of a frame. */
export const endMarks: Readonly<Record<EndpointEnd, number>> = { end: 0, reset: 0xff_ff_ff_ff };
/** Largest frame. Sockets are read in parts of at most 64 KiB; a longer frame is not one of a host. */
export const MAX_FRAME_BYTES = 1_048_576;
