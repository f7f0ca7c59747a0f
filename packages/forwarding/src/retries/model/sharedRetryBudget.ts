/** Second sends of a service's requests, limited over all hosts without a call per request. */
import type { ServiceId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";

type RetrySettings = ForwardingSettings["retries"];

export interface SharedRetryBudget {
    readonly recordRequest: (service: ServiceId, nowMs: number) => void;
    /** Takes one second send. `false` if this host has used its share. */
    readonly spend: (service: ServiceId, nowMs: number) => boolean;
}

/**
 * Part of the allowance that hosts use. The rest covers hosts that have started and are not known to their peers yet,
 * and requests that arrive at other hosts than those that repeat them.
 */
const USED_SHARE = 0.7;

interface ServiceWindow {
    requests: number[];
    repeats: number[];
}

/** Creates a budget. A host's share of the extra sends follows the number of hosts that it knows of. */
export function createSharedRetryBudget(
    getSettings: () => RetrySettings,
    countHosts: () => number,
): SharedRetryBudget {
    const windows = new Map<ServiceId, ServiceWindow>();
    const getWindow = (service: ServiceId, nowMs: number): ServiceWindow => {
        const window = windows.get(service) ?? { requests: [], repeats: [] };
        const beforeMs = nowMs - getSettings().window_ms;
        windows.set(service, window);
        dropOld(window.requests, beforeMs);
        dropOld(window.repeats, beforeMs);
        return window;
    };
    return {
        recordRequest: (service, nowMs) => void getWindow(service, nowMs).requests.push(nowMs),
        spend: (service, nowMs) => {
            const window = getWindow(service, nowMs);
            const { ratio, extra } = getSettings();
            const share = extra / Math.max(1, countHosts());
            const allowed = USED_SHARE * (ratio * window.requests.length + share);
            if (window.repeats.length + 1 > allowed) {
                return false;
            }
            window.repeats.push(nowMs);
            return true;
        },
    };
}

function dropOld(times: number[], beforeMs: number): void {
    const firstKept = times.findIndex(time => time > beforeMs);
    times.splice(0, firstKept === -1 ? times.length : firstKept);
}
