import type { WorkspaceObject } from "../../model/configuration.js";
import { createTokenBucket, type TokenBucket } from "../model/tokenBucket.js";
import type { HostLimits, WorkspaceUse } from "../model/workspaceUse.js";
import { spendTokens, takeTokens, updateBucket } from "./spendTokens.js";

/** Time after which the caller may retry a request that was refused for concurrency. */
const CONCURRENCY_RETRY_MS = 1_000;

/**
 * Computes the limits of this host from the fraction (0 to 1) of a workspace's entitlement that it may use. At least
 * one request may run, however small the fraction is.
 */
export function computeHostLimits(workspace: WorkspaceObject, fraction: number): HostLimits {
    return {
        tokensPerSecond: workspace.tokensPerSecond * fraction,
        burstTokens: workspace.burstTokens * fraction,
        maxConcurrent: Math.max(1, Math.floor(workspace.maxConcurrent * fraction)),
    };
}

/** Result of `admitWorkspaceRequest`. `use` is the new state of the workspace in either case. */
export type WorkspaceAdmission =
    | { readonly admitted: true; readonly use: WorkspaceUse; }
    | {
        readonly admitted: false;
        readonly use: WorkspaceUse;
        readonly reason: "rate" | "concurrency";
        readonly retryAfterMs: number;
    };

/** Admits a request of a workspace that may use `tokens` tokens, or refuses it before any work is done. */
export function admitWorkspaceRequest(
    use: WorkspaceUse,
    limits: HostLimits,
    tokens: number,
    now: number,
): WorkspaceAdmission {
    if (use.running >= limits.maxConcurrent) {
        return { admitted: false, use, reason: "concurrency", retryAfterMs: CONCURRENCY_RETRY_MS };
    }
    const spent = spendTokens(fitBucket(use, limits, now), tokens, now);
    if (!spent.allowed) {
        return {
            admitted: false,
            use: { ...use, bucket: spent.bucket },
            reason: "rate",
            retryAfterMs: spent.retryAfterMs,
        };
    }
    return { admitted: true, use: { bucket: spent.bucket, running: use.running + 1 } };
}

export const endWorkspaceRequest = (use: WorkspaceUse): WorkspaceUse => ({
    ...use,
    running: Math.max(0, use.running - 1),
});

/** Charges the tokens of a retry to the workspace. A retry is never refused here, because its request was admitted. */
export function recordRetry(use: WorkspaceUse, limits: HostLimits, tokens: number, now: number): WorkspaceUse {
    return { ...use, bucket: takeTokens(fitBucket(use, limits, now), tokens, now) };
}

function fitBucket(use: WorkspaceUse, limits: HostLimits, now: number): TokenBucket {
    const size = { capacity: limits.burstTokens, tokensPerSecond: limits.tokensPerSecond };
    return use.bucket === undefined ? createTokenBucket(size, now) : updateBucket(use.bucket, size, now);
}
