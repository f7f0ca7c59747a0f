/** Ends the work in flight on reclaimed endpoints within their owners' grace period. */
import { decideInFlight, findObject, isAvailable, measureElapsed, type ReclaimTimes } from "@currantrill/core";
import { requestJson } from "@currantrill/http";
import { type AttemptId, type EndpointId, kvStateSchema } from "@currantrill/protocol";
import { readClocks } from "../../configuration/model/configurationHolder.js";
import type { RunningAttempt } from "../../endpoints/model/runningAttempt.js";
import type { HostContext } from "../../model/hostContext.js";

/** Interval at which work on reclaimed endpoints is examined. It bounds how late the end of a grace period is noticed. */
const RECLAIM_MS = 100;
/**
 * Interval at which all endpoints are decided anew, for silence and withdrawals; each send decides for itself, and
 * tickets and stops refresh at once. Every 100 ms a host used 4.6% of a core in place of 4.0% at 183 endpoints.
 */
const REFRESH_MS = 500;
const KV_TIMEOUT_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Refreshes the lending decisions and acts on them, until the returned timers are cleared. */
export function startLending(context: HostContext): NodeJS.Timeout[] {
    const moving = new Set<AttemptId>();
    context.lending.refresh();
    return [
        setInterval(() => context.lending.refresh(), REFRESH_MS),
        setInterval(() => handleReclaims(context, moving), RECLAIM_MS),
    ];
}

function handleReclaims(context: HostContext, moving: Set<AttemptId>): void {
    const reclaims = context.lending.getReclaims();
    context.metrics.reclaimAgeSeconds.set(measureOldestReclaim(context, reclaims));
    for (const attempt of context.attempts.values()) {
        const reclaimed = attempt.members.find(member => reclaims[member] !== undefined);
        if (reclaimed === undefined || moving.has(attempt.attemptId)) {
            continue;
        }
        const endpoint = findObject(context.configuration.current, "endpoint", reclaimed);
        const work = { expectedMs: attempt.estimateRemainingMs(), movable: true };
        const decision = endpoint === undefined
            ? "cancel"
            : decideInFlight(endpoint, reclaims, work, readClocks());
        if (decision === "cancel") {
            attempt.interrupt("reclaimed");
        }
        if (decision === "move") {
            moving.add(attempt.attemptId);
            void resumeElsewhere(context, attempt).finally(() => moving.delete(attempt.attemptId));
        }
    }
}

/** Age of the oldest reclaim with work of this host in flight, in seconds. */
function measureOldestReclaim(context: HostContext, reclaims: ReclaimTimes): number {
    const busy = new Set([...context.attempts.values()].flatMap(attempt => attempt.members));
    const now = readClocks();
    const ages = [...busy].map(member => {
        const since = reclaims[member];
        return since === undefined ? 0 : measureElapsed(since, now);
    });
    return Math.max(0, ...ages) / MS_PER_SECOND;
}

/** Takes the KV cache to another engine if there is one, and has the attempt continue there, or else anywhere. */
async function resumeElsewhere(context: HostContext, attempt: RunningAttempt): Promise<void> {
    const target = attempt.members.length > 1 ? undefined : chooseTarget(context, attempt);
    const moved = target !== undefined && await forwardKv(context, attempt, target);
    context.log.info(
        { requestId: attempt.requestId, from: attempt.endpoint, to: target, withKv: moved },
        "lending: attempt moved",
    );
    attempt.interrupt("reclaimed", moved ? target : undefined);
}

function chooseTarget(context: HostContext, attempt: RunningAttempt): EndpointId | undefined {
    const views = context.beliefs.getAll();
    const source = views.get(attempt.endpoint);
    const now = performance.now();
    return attempt.allowed
        .map(id => views.get(id))
        .filter(view => view !== undefined)
        .filter(view => view.endpoint !== attempt.endpoint && isAvailable(view, attempt.model, now))
        .sort((a, b) =>
            Number(a.failureDomain !== source?.failureDomain) - Number(b.failureDomain !== source?.failureDomain)
            || a.report.runningRequests - b.report.runningRequests
        )[0]?.endpoint;
}

/** Copies the KV cache of a running attempt. Returns whether the target has it. */
async function forwardKv(context: HostContext, attempt: RunningAttempt, target: EndpointId): Promise<boolean> {
    try {
        const exported = await sendToEngine(context, attempt.endpoint, "/v1/kv/export", {
            attempt_id: attempt.attemptId,
        });
        const imported = await sendToEngine(
            context,
            target,
            "/v1/kv/import",
            kvStateSchema.loose().parse(exported.body),
        );
        return imported.status >= 200 && imported.status < 300;
    }
    catch (error) {
        context.log.warn({ err: error, attemptId: attempt.attemptId, target }, "lending: KV cache not copied");
        return false;
    }
}

function sendToEngine(
    context: HostContext,
    endpoint: EndpointId,
    path: string,
    body: unknown,
): ReturnType<typeof requestJson> {
    const connections = context.clients.get(context.beliefs.getUrl(endpoint));
    return requestJson(`${connections.origin}${path}`, {
        method: "POST",
        body,
        timeoutMs: KV_TIMEOUT_MS,
        dispatcher: connections.getDispatcher(),
    });
}
