/** Use of one workspace on one host. */
import type { TokenBucket } from "./tokenBucket.js";

export interface WorkspaceUse {
    /** `undefined` before the first request. */
    readonly bucket: TokenBucket | undefined;
    /** Admitted requests that have not ended, whether they run or are queued. */
    readonly running: number;
}

export const initialWorkspaceUse: WorkspaceUse = { bucket: undefined, running: 0 };

/** Limits of a workspace on one host: the host's share of the workspace's entitlement. */
export interface HostLimits {
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    readonly maxConcurrent: number;
}
