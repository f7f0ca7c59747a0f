/** A graceful shutdown in progress; times are on the monotonic clock. */
export interface Shutdown {
    /** When the stop signal arrived, as far as the host can tell. */
    readonly startedAtMs: number;
    /** When the load balancer has noticed that the host is not ready, so that it sends no further requests. */
    readonly noticedAtMs: number;
    /** When requests that are still in flight get their final answer, because the host stops. */
    readonly stopsAtMs: number;
}
