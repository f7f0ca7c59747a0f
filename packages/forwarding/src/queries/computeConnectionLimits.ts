/**
 * Fraction of the file descriptors that connections of callers may use. Each request in flight has another connection to
 * an endpoint. The rest is for second attempts, probes and idle connections to endpoints, the store, and files.
 */
const CALLER_FRACTION = 0.38;
/** Fraction for each of the other servers: a few load balancers and monitors, or the hosts that copy tables. */
const OTHER_FRACTION = 0.02;
/** The other servers answer at least so many clients, whatever the number of descriptors. */
const MIN_OTHER = 8;

/** Most connections of each server of a host, by the setting of its address. */
export type ConnectionLimits = Readonly<Record<"callers" | "readiness" | "metrics" | "peers", number>>;

/** Divides the file descriptors of the process among its servers. */
export function computeConnectionLimits(fileDescriptors: number): ConnectionLimits {
    const other = Math.max(MIN_OTHER, Math.floor(fileDescriptors * OTHER_FRACTION));
    return { callers: Math.floor(fileDescriptors * CALLER_FRACTION), readiness: other, metrics: other, peers: other };
}
