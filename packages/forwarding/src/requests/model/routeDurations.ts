/** How long requests take, by route. */
export interface RouteDurations {
    /** Records a request that was answered. */
    readonly record: (route: string, durationMs: number) => void;
    /** Returns the time that most recent requests took, `undefined` if there were none. */
    readonly estimateMs: (route: string) => number | undefined;
}

/** Requests of a route that are remembered. */
const MAX_DURATIONS = 32;
/** Fraction of them that took no longer than the estimate. */
const ESTIMATE_QUANTILE = 0.9;
/** Routes that are remembered. Configurations change routes at times, and the oldest are forgotten. */
const MAX_ROUTES = 1_000;

export function createRouteDurations(): RouteDurations {
    const routes = new Map<string, readonly number[]>();
    return {
        record: (route, durationMs) => {
            const durations = [...routes.get(route) ?? [], durationMs].slice(-MAX_DURATIONS);
            // Deleted first, so that the map lists the routes in the order of their last requests.
            routes.delete(route);
            routes.set(route, durations);
            const [oldest] = routes.keys();
            if (routes.size > MAX_ROUTES && oldest !== undefined) {
                routes.delete(oldest);
            }
        },
        estimateMs: route => {
            const sorted = [...routes.get(route) ?? []].sort((a, b) => a - b);
            return sorted[Math.ceil(ESTIMATE_QUANTILE * sorted.length) - 1];
        },
    };
}
