/** Limits the retries of a service's requests over all hosts, without a call between hosts for each retry. */
import type { ServiceId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";

type RetrySettings = ForwardingSettings["retries"];

/** Retry budget of this host, by service. */
export interface SharedRetryBudget {
    /** Counts a request, which raises the number of allowed retries. */
    readonly recordRequest: (service: ServiceId, nowMs: number) => void;
    /** Returns whether `spend` would grant a retry. */
    readonly canSpend: (service: ServiceId, nowMs: number) => boolean;
    /** Takes one retry from the budget. Returns `false` if this host has used its share of the current window. */
    readonly spend: (service: ServiceId, nowMs: number) => boolean;
}

/**
 * Fraction of the allowance that hosts use. The rest covers hosts that have started and are not yet known to their
 * peers, and requests that arrive at other hosts than those that retry them.
 */
const USED_FRACTION = 0.7;

/** Times of a service's requests and retries in the current window, in ascending order. */
interface ServiceWindow {
    requests: number[];
    retries: number[];
}

/** Creates a budget. This host's share of the fixed extra retries depends on the number of hosts that it knows of. */
export function createSharedRetryBudget(
    getSettings: () => RetrySettings,
    countHosts: () => number,
): SharedRetryBudget {
    const windows = new Map<ServiceId, ServiceWindow>();
    const getWindow = (service: ServiceId, nowMs: number): ServiceWindow => {
        const window = windows.get(service) ?? { requests: [], retries: [] };
        const windowStartMs = nowMs - getSettings().window_ms;
        windows.set(service, window);
        dropUntil(window.requests, windowStartMs);
        dropUntil(window.retries, windowStartMs);
        return window;
    };
    const canSpend = (service: ServiceId, nowMs: number): boolean => {
        const window = getWindow(service, nowMs);
        const { ratio, extra } = getSettings();
        const hostAllowance = extra / Math.max(1, countHosts());
        const allowed = USED_FRACTION * (ratio * window.requests.length + hostAllowance);
        return window.retries.length + 1 <= allowed;
    };
    return {
        canSpend,
        recordRequest: (service, nowMs) => void getWindow(service, nowMs).requests.push(nowMs),
        spend: (service, nowMs) => {
            if (!canSpend(service, nowMs)) {
                return false;
            }
            getWindow(service, nowMs).retries.push(nowMs);
            return true;
        },
    };
}

/** Removes the times up to and including `endMs`. */
function dropUntil(times: number[], endMs: number): void {
    const firstKept = times.findIndex(time => time > endMs);
    times.splice(0, firstKept === -1 ? times.length : firstKept);
}
