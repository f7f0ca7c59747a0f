import type { FailureDomainId } from "@currantrill/protocol";

/** One-way latency between a caller and a host. */
export const CLIENT_DELAY_MS = 3;
/** One-way latency within a failure domain. */
const LOCAL_DELAY_MS = 0.1;
/** One-way latency between failure domains. */
const REMOTE_DELAY_MS = 0.5;

/** Network between failure domains, of which one may be partitioned from the others. */
export class SimulatedNetwork {
    private isolatedDomain: FailureDomainId | undefined;

    /** Partitions a failure domain from all others; `undefined` ends the partition. */
    setIsolatedDomain(domain: FailureDomainId | undefined): void {
        this.isolatedDomain = domain;
    }

    canReach(from: FailureDomainId, to: FailureDomainId): boolean {
        return from === to || (from !== this.isolatedDomain && to !== this.isolatedDomain);
    }

    getDelayMs(from: FailureDomainId, to: FailureDomainId): number {
        return from === to ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
    }
}
