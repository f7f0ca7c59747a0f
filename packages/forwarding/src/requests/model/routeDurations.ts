/** A request that was answered. */
export interface AnsweredRequest {
    /** Time from its arrival to the end of its answer. */
    readonly durationMs: number;
    /** Time from its arrival to the first event, if the answer was a stream. */
    readonly firstEventMs?: number;
    /** Expected length of its answer. */
    readonly answerTokens?: number;
}

/** How long requests take, by route. */
export interface RouteDurations {
    /** Records a request that was answered. */
    readonly record: (route: string, answered: AnsweredRequest) => void;
    /**
     * Estimates the time of a request from those of recent requests, and from the expected length of its answer if it is
     * known. Returns `undefined` if there were none.
     */
    readonly estimateMs: (route: string, answerTokens?: number) => number | undefined;
}

/** Requests of a route that are remembered. */
const MAX_DURATIONS = 32;
/** Fraction of them that took no longer than the estimate. */
const ESTIMATE_QUANTILE = 0.9;
/** Routes that are remembered. Configurations change routes at times, and the oldest are forgotten. */
const MAX_ROUTES = 1_000;

export function createRouteDurations(): RouteDurations {
    const routes = new Map<string, readonly AnsweredRequest[]>();
    return {
        record: (route, answered) => {
            const recent = [...routes.get(route) ?? [], answered].slice(-MAX_DURATIONS);
            // Deleted first, so that the map lists the routes in the order of their last requests.
            routes.delete(route);
            routes.set(route, recent);
            const [oldest] = routes.keys();
            if (routes.size > MAX_ROUTES && oldest !== undefined) {
                routes.delete(oldest);
            }
        },
        estimateMs: (route, answerTokens) => {
            const recent = routes.get(route) ?? [];
            const byLengthMs = answerTokens === undefined ? undefined : estimateByLength(recent, answerTokens);
            return byLengthMs ?? getQuantile(recent.map(({ durationMs }) => durationMs));
        },
    };
}

/**
 * Estimates a stream by the pace of recent ones, `undefined` if none had a known length. Callers' estimates of the length of an answer are often far too low or too
 * high, so the longest recent stream is a second bound.
 */
function estimateByLength(recent: readonly AnsweredRequest[], answerTokens: number): number | undefined {
    const firstEventMs = getQuantile(recent.map(each => each.firstEventMs ?? each.durationMs));
    const msPerToken = getQuantile(
        recent.flatMap(({ durationMs, firstEventMs: firstMs = 0, answerTokens: tokens }) =>
            tokens === undefined || tokens <= 0 ? [] : [(durationMs - firstMs) / tokens]
        ),
    );
    const longestMs = Math.max(...recent.map(({ durationMs }) => durationMs));
    return firstEventMs === undefined || msPerToken === undefined
        ? undefined
        : Math.min(longestMs, firstEventMs + answerTokens * msPerToken);
}

/** Returns the value that `ESTIMATE_QUANTILE` of the values do not exceed. */
function getQuantile(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.ceil(ESTIMATE_QUANTILE * sorted.length) - 1];
}
