import { probeEndpoint } from "../../endpoints/commands/probeEndpoint.js";
import { recordResponse } from "../../endpoints/model/endpointHealth.js";
import { startTimeout } from "../../endpoints/model/startTimeout.js";
import { isGone } from "../queries/canReplaceSilent.js";
import { RETRY_CHECK_MS, type StreamRun } from "./runStreamAttempt.js";

/**
 * Calls `onGone` for the only attempt of a stream that has not begun if its endpoint has gone. The endpoint is probed each
 * time: it may have answered an earlier probe.
 */
export function scheduleGoneCheck(run: StreamRun, onGone: () => void): void {
    const { endpoint } = run.plan;
    run.cancelStallCheck = startTimeout(RETRY_CHECK_MS, () => {
        if (isGone(run)) {
            onGone();
            return;
        }
        void probeEndpoint(endpoint, run.context.protocol).then(report => {
            if (report === undefined) {
                run.probeFailedAtMs ??= performance.now();
            }
            else if (report !== "not_probed") {
                endpoint.health = recordResponse(endpoint.health, performance.now());
                run.probeFailedAtMs = undefined;
            }
            if (!run.isSettled) {
                scheduleGoneCheck(run, onGone);
            }
        });
    });
}
