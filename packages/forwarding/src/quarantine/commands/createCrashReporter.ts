/** Checks whether endpoints have crashed, and reports that with the parts of the prompts that were on them. */
import type { ServiceId } from "@currantrill/protocol";
import type Logger from "bunyan";
import { probeEndpoint } from "../../endpoints/commands/probeEndpoint.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { markUnresponsive } from "../../endpoints/model/endpointHealth.js";
import type { ForwardingMetrics } from "../../model/forwardingMetrics.js";
import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { QuarantineState } from "../model/quarantineState.js";
import type { SuspectId } from "../model/suspect.js";

/** A prompt whose connection was closed before the endpoint had written two events. */
export interface BrokenPrompt {
    readonly service: ServiceId;
    readonly parts: readonly SuspectId[];
    /** Whether the response had begun, without any event. */
    readonly hasBegun: boolean;
}

export interface CrashReporterOptions {
    readonly log: Logger;
    readonly metrics: Pick<ForwardingMetrics, "crashReports">;
    readonly protocol: EndpointProtocol;
    readonly state: QuarantineState;
}

/** Reports the crash of an endpoint after a broken attempt. Resolves with whether it has crashed. */
export type CrashReporter = (endpoint: Endpoint, prompt: BrokenPrompt) => Promise<boolean>;

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
    return async (endpoint, { service, parts, hasBegun }) => {
        const crashedAtMs = performance.now();
        if (!await isGone(endpoint)) {
            return false;
        }
        endpoint.health = markUnresponsive(endpoint.health, performance.now());
        const report = {
            endpointId: endpoint.entry.id,
            processStartedAtMs: endpoint.entry.processStartedAtMs,
            service,
            crashedAtMs,
            begunParts: hasBegun ? parts : [],
            waitingParts: hasBegun ? [] : parts,
        };
        metrics.crashReports.inc({ state: hasBegun ? "begun" : "waiting" });
        log.info({ endpoint: report.endpointId, service, parts, hasBegun }, "quarantine: endpoint crashed");
        state.recordCrash(report, performance.now());
        return true;
    };
}
