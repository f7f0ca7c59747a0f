/** Checks whether endpoints have crashed, and reports that with the requests that were on them. */
import type Logger from "bunyan";
import { probeEndpoint } from "../../endpoints/commands/probeEndpoint.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { markUnresponsive } from "../../endpoints/model/endpointHealth.js";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { QuarantineState } from "../model/quarantineState.js";
import { toRequestSuspect } from "../model/suspect.js";
import type { TrackedRequest } from "../model/trackedRequest.js";

/** An attempt whose connection was closed before the endpoint had written a whole answer. */
export interface BrokenAttempt {
    readonly request: TrackedRequest;
    /** When the attempt began, on the monotonic clock, in milliseconds. */
    readonly sentAtMs: number;
    /** Whether the response had begun, without any event. */
    readonly hasBegun: boolean;
    /** Whether the endpoint had begun to write an answer, so that the parts of the prompt are not at fault. */
    readonly hasAnswer: boolean;
}

export interface CrashReporterOptions {
    readonly log: Logger;
    readonly metrics: Pick<ForwardingMetrics, "crashReports">;
    readonly protocol: EndpointProtocol;
    readonly state: QuarantineState;
}

/** Reports the crash of an endpoint after a broken attempt. Resolves with whether it has crashed. */
export type CrashReporter = (endpoint: Endpoint, attempt: BrokenAttempt) => Promise<boolean>;

/** Creates a reporter. An endpoint is probed once for all its broken attempts. */
export function createCrashReporter({ log, metrics, protocol, state }: CrashReporterOptions): CrashReporter {
    const probes = new Map<Endpoint, Promise<boolean>>();
    const isGone = (endpoint: Endpoint): Promise<boolean> => {
        const pending = probes.get(endpoint);
        if (pending !== undefined) {
            return pending;
        }
        const probe = probeEndpoint(endpoint, protocol).then(report => {
            probes.delete(endpoint);
            return report === undefined;
        });
        probes.set(endpoint, probe);
        return probe;
    };
    return async (endpoint, { request, sentAtMs, hasBegun, hasAnswer }) => {
        const crashedAtMs = performance.now();
        if (!await isGone(endpoint)) {
            return false;
        }
        endpoint.health = markUnresponsive(endpoint.health, performance.now());
        const { service, identity } = request;
        const parts = hasAnswer ? [] : request.parts;
        const requestDigest = identity.getDigest();
        const report = {
            endpointId: endpoint.entry.id,
            processStartedAtMs: endpoint.entry.processStartedAtMs,
            service,
            crashedAtMs,
            begunParts: hasBegun ? parts : [],
            waitingParts: hasBegun ? [] : parts,
            requests: [{ suspect: toRequestSuspect(requestDigest), sentAtMs }],
        };
        metrics.crashReports.inc({ state: hasBegun ? "begun" : "waiting" });
        log.info(
            { endpoint: report.endpointId, service, parts, requestDigest, hasBegun },
            "quarantine: endpoint crashed",
        );
        state.recordCrash(report, performance.now());
        return true;
    };
}
