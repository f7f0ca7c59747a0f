import type { FailureDomainId } from "@currantrill/protocol";

export const CLIENT_DELAY_MS = 3;
const LOCAL_DELAY_MS = 0.1;
const REMOTE_DELAY_MS = 0.5;

/** Latency between failure domains, and the domain that is cut off at the moment. */
export class Network {
    private cutOff: FailureDomainId | undefined;

    setCutOff(domain: FailureDomainId | undefined): void {
        this.cutOff = domain;
    }

    canReach(from: FailureDomainId, to: FailureDomainId): boolean {
        return from === to || (from !== this.cutOff && to !== this.cutOff);
    }

    getDelayMs(from: FailureDomainId, to: FailureDomainId): number {
        return from === to ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
    }
}
