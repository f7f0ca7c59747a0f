/** How long this host has granted the permits of a failure domain without an interruption. */
import { type Clocks, measureElapsed } from "@currantrill/protocol";

/**
 * Time in which another host may go on to grant: hosts take a peer for silent after 1.6 s without a message, and the one
 * that is cut off takes its peers for gone after 2.5 s.
 */
export const TAKEOVER_MS = 2_500;
/**
 * A longer time between two checks shows that the process was suspended. It is shorter than the time after which peers
 * let another host grant.
 */
const MAX_CHECK_GAP_MS = 1_200;

export interface GranterTenure {
    /** Records the failure domains whose permits this host grants; called regularly. */
    readonly check: (domains: ReadonlySet<string>, now: Clocks) => void;
    /** Returns whether no other host grants the permits of a domain any more. */
    readonly isEstablished: (domain: string, now: Clocks) => boolean;
}

/** Creates the tenure of a host that grants nothing. */
export function createGranterTenure(): GranterTenure {
    const since = new Map<string, Clocks>();
    let checkedAt: Clocks | undefined;
    const wasSuspended = (now: Clocks): boolean =>
        checkedAt !== undefined && measureElapsed(checkedAt, now) > MAX_CHECK_GAP_MS;
    return {
        check: (domains, now) => {
            if (wasSuspended(now)) {
                since.clear();
            }
            checkedAt = now;
            [...since.keys()].filter(domain => !domains.has(domain)).forEach(domain => since.delete(domain));
            domains.forEach(domain => since.set(domain, since.get(domain) ?? now));
        },
        isEstablished: (domain, now) => {
            const start = since.get(domain);
            return start !== undefined && !wasSuspended(now) && measureElapsed(start, now) >= TAKEOVER_MS;
        },
    };
}
