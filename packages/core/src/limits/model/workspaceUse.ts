/** Use of one workspace on one host. */
import type { TokenBucket } from "./tokenBucket.js";

export interface WorkspaceUse {
    /** `undefined` before the first request. */
    readonly bucket: TokenBucket | undefined;
    /** Requests that run or wait. */
    readonly running: number;
}

export const unusedWorkspace: WorkspaceUse = { bucket: undefined, running: 0 };

/** What a host may use of a workspace's entitlement. */
export interface HostLimits {
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    readonly maxConcurrent: number;
}
