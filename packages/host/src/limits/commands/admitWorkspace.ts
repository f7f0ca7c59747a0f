import type { WorkspaceObject } from "@currantrill/core";
import { CallerError } from "../../callers/model/callerError.js";
import type { HostContext } from "../../model/hostContext.js";
import type { Grant } from "../model/workspaceLimits.js";

const MS_PER_SECOND = 1_000;

const messages = {
    rate: "The workspace has used its tokens per second on this host.",
    concurrency: "The workspace has as many requests open on this host as it may.",
} as const;

/**
 * Admits a request against the share of its workspace on this host. Throws `CallerError` with the code `over_limit`
 * before any work is done for it. `tokens` is the number that the request may use.
 */
export function admitWorkspace(context: HostContext, workspace: WorkspaceObject, tokens: number): Grant {
    const admission = context.limits.admit(workspace, tokens);
    if (admission.admitted) {
        return admission.grant;
    }
    throw new CallerError("over_limit", {
        message: messages[admission.reason],
        retryAfterSeconds: Math.max(1, Math.ceil(admission.retryAfterMs / MS_PER_SECOND)),
    });
}
