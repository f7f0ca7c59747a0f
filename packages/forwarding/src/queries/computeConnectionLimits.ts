/**
 * Fraction of the file descriptors that connections of callers may use. Each request in flight has another connection to
 * an endpoint. The rest is for second attempts, probes and idle connections to endpoints, the store, and files.
 */
const CALLER_FRACTION = 0.37;
/** Fraction for the server that peers copy tables from: all hosts of a large failure domain may do so at the same time. */
const PEER_FRACTION = 0.04;
/** Fraction for each of the other servers: a few load balancers and monitors. */
const OTHER_FRACTION = 0.02;
/** Each server answers at least so many clients, whatever the number of descriptors. */
const MIN_CONNECTIONS = 8;

/** Most connections of each server of a host, by the setting of its address. */
export type ConnectionLimits = Readonly<Record<"callers" | "readiness" | "metrics" | "peers", number>>;

/** Divides the file descriptors of the process among its servers. */
export function computeConnectionLimits(fileDescriptors: number): ConnectionLimits {
    const compute = (fraction: number): number => Math.max(MIN_CONNECTIONS, Math.floor(fileDescriptors * fraction));
    return {
        callers: compute(CALLER_FRACTION),
        readiness: compute(OTHER_FRACTION),
        metrics: compute(OTHER_FRACTION),
        peers: compute(PEER_FRACTION),
    };
}
