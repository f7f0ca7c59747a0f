/** Probes unresponsive endpoints until they respond again, and the endpoints that this host monitors. */
import { type FailureDomainId, readClocks } from "@currantrill/protocol";
import type Logger from "bunyan";
import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { Endpoint, EndpointDirectory } from "../model/endpointDirectory.js";
import { markUnresponsive, recordResponse, recordSlowdown } from "../model/endpointHealth.js";
import { probeEndpoint } from "./probeEndpoint.js";

/** Interval between two probes of an unresponsive endpoint. */
const PROBE_INTERVAL_MS = 400;
/** Monitored endpoints are probed on every third tick of the probe interval, that is every 1.2 s. */
const TICKS_PER_MONITOR_PROBE = 3;
/** Crossing this slowdown in either direction is logged. */
const SLOWDOWN_LOG_THRESHOLD = 1.5;

export interface ProbingOptions {
    readonly directory: EndpointDirectory;
    /** Returns whether a failure domain is evacuated: its endpoints get no requests, and are not probed. */
    readonly isEvacuated: (domain: FailureDomainId) => boolean;
    readonly protocol: EndpointProtocol;
    readonly log: Logger;
    /** Lists the endpoints that this host monitors on behalf of its failure domain. */
    readonly listMonitored: () => readonly Endpoint[];
}

/** Starts periodic probing. Returns a function that stops it. */
export function startProbing(options: ProbingOptions): () => void {
    const { directory, isEvacuated, protocol, log } = options;
    const probesInFlight = new Set<Endpoint>();
    let ticks = 0;
    const probe = async (endpoint: Endpoint): Promise<void> => {
        probesInFlight.add(endpoint);
        const wasUnresponsive = endpoint.health.isUnresponsive;
        const report = await probeEndpoint(endpoint, protocol);
        probesInFlight.delete(endpoint);
        if (report === "not_probed") {
            return;
        }
        const nowMs = performance.now();
        const id = endpoint.entry.id;
        if (report === undefined) {
            if (!wasUnresponsive) {
                endpoint.health = markUnresponsive(endpoint.health, nowMs);
                log.info({ endpoint: id }, "endpoints: monitored endpoint unresponsive");
            }
            return;
        }
        if (wasUnresponsive) {
            log.info({ endpoint: id }, "endpoints: responsive again");
        }
        const { slowdown: reportedSlowdown = 1 } = report;
        if (reportedSlowdown >= SLOWDOWN_LOG_THRESHOLD !== endpoint.health.slowdown >= SLOWDOWN_LOG_THRESHOLD) {
            log.info(
                { endpoint: id, pace: reportedSlowdown, previous: endpoint.health.slowdown },
                "endpoints: processing speed changed",
            );
        }
        endpoint.health = recordSlowdown(recordResponse(endpoint.health, nowMs), reportedSlowdown, nowMs);
    };
    const timer = setInterval(() => {
        ticks += 1;
        directory.listAll().forEach(endpoint => endpoint.pool.discardUnusable());
        const unresponsive = directory.listAll().filter(endpoint => endpoint.health.isUnresponsive);
        unresponsive.filter(endpoint => !probesInFlight.has(endpoint)).forEach(endpoint => endpoint.pool.discardIdle());
        const monitored = ticks % TICKS_PER_MONITOR_PROBE === 0 ? options.listMonitored() : [];
        for (const endpoint of new Set([...unresponsive, ...monitored])) {
            const isPaused = endpoint.notices.getPauseMs(readClocks()) > 0 || isEvacuated(endpoint.entry.failureDomain);
            if (!probesInFlight.has(endpoint) && !isPaused) {
                void probe(endpoint);
            }
        }
    }, PROBE_INTERVAL_MS);
    return () => clearInterval(timer);
}
