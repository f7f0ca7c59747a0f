/** Asks endpoints for their state: those that did not answer until they do, and those that this host watches. */
import type Logger from "bunyan";
import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { Endpoint, EndpointDirectory } from "../model/endpointDirectory.js";
import { recordAnswer, recordPace, recordSilence } from "../model/endpointHealth.js";
import { checkEndpoint } from "./checkEndpoint.js";

const PROBE_INTERVAL_MS = 400;
/** Ticks of the interval between two questions to a watched endpoint. */
const TICKS_PER_WATCH = 3;
/** From this pace on a change is logged. */
const SLOW_PACE = 1.5;

export interface ProbingOptions {
    readonly directory: EndpointDirectory;
    readonly protocol: EndpointProtocol;
    readonly log: Logger;
    /** Endpoints that this host watches for its failure domain. */
    readonly listWatched: () => readonly Endpoint[];
}

/** Starts to probe. Returns a function that stops it. */
export function startProbing(options: ProbingOptions): () => void {
    const { directory, protocol, log } = options;
    const probing = new Set<Endpoint>();
    let ticks = 0;
    const probe = async (endpoint: Endpoint): Promise<void> => {
        probing.add(endpoint);
        const wasSilent = endpoint.health.isSilent;
        const report = await checkEndpoint(endpoint, protocol);
        probing.delete(endpoint);
        const nowMs = performance.now();
        const id = endpoint.entry.id;
        if (report === undefined) {
            if (!wasSilent) {
                endpoint.health = recordSilence(endpoint.health, nowMs);
                log.info({ endpoint: id }, "endpoints: watched one does not answer");
            }
            return;
        }
        if (wasSilent) {
            log.info({ endpoint: id }, "endpoints: regained");
        }
        const { pace = 1 } = report;
        if (pace >= SLOW_PACE !== endpoint.health.pace >= SLOW_PACE) {
            log.info({ endpoint: id, pace, previous: endpoint.health.pace }, "endpoints: pace changed");
        }
        endpoint.health = recordPace(recordAnswer(endpoint.health, nowMs), pace, nowMs);
    };
    const timer = setInterval(() => {
        ticks += 1;
        const silent = directory.listAll().filter(endpoint => endpoint.health.isSilent);
        silent.filter(endpoint => !probing.has(endpoint)).forEach(endpoint => endpoint.pool.discardIdle());
        const watched = ticks % TICKS_PER_WATCH === 0 ? options.listWatched() : [];
        for (const endpoint of new Set([...silent, ...watched])) {
            if (!probing.has(endpoint)) {
                void probe(endpoint);
            }
        }
    }, PROBE_INTERVAL_MS);
    return () => clearInterval(timer);
}
