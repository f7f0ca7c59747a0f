/** Asks endpoints that did not answer for their state, until they do. */
import type Logger from "bunyan";
import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { Endpoint, EndpointDirectory } from "../model/endpointDirectory.js";
import { recordAnswer } from "../model/endpointHealth.js";
import { checkEndpoint } from "./checkEndpoint.js";

const PROBE_INTERVAL_MS = 400;

/** Starts to probe. Returns a function that stops it. */
export function startProbing(directory: EndpointDirectory, protocol: EndpointProtocol, log: Logger): () => void {
    const probing = new Set<Endpoint>();
    const probe = async (endpoint: Endpoint): Promise<void> => {
        probing.add(endpoint);
        if (await checkEndpoint(endpoint, protocol)) {
            endpoint.health = recordAnswer(endpoint.health);
            log.info({ endpoint: endpoint.entry.id }, "endpoints: regained");
        }
        probing.delete(endpoint);
    };
    const timer = setInterval(() => {
        for (const endpoint of directory.listAll()) {
            if (endpoint.health.isSilent && !probing.has(endpoint)) {
                endpoint.pool.discardIdle();
                void probe(endpoint);
            }
        }
    }, PROBE_INTERVAL_MS);
    return () => clearInterval(timer);
}
