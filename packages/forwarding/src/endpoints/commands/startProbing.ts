/** Asks endpoints that did not answer for their state, until they do. */
import type Logger from "bunyan";
import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { Endpoint, EndpointDirectory } from "../model/endpointDirectory.js";
import { recordAnswer } from "../model/endpointHealth.js";
import { requestEndpoint } from "./requestEndpoint.js";

const PROBE_INTERVAL_MS = 400;
/** Longer than the connect timeout, so that a lost first packet is not taken for silence twice. */
const PROBE_TIMEOUT_MS = 350;

/** Starts to probe. Returns a function that stops it. */
export function startProbing(directory: EndpointDirectory, protocol: EndpointProtocol, log: Logger): () => void {
    const probing = new Set<Endpoint>();
    const probe = async (endpoint: Endpoint): Promise<void> => {
        probing.add(endpoint);
        try {
            await requestEndpoint(endpoint.pool, protocol.buildReport(), PROBE_TIMEOUT_MS);
            endpoint.health = recordAnswer(endpoint.health);
            log.info({ endpoint: endpoint.entry.id }, "endpoints: regained");
        }
        catch (error) {
            log.debug({ err: error, endpoint: endpoint.entry.id }, "endpoints: probe not answered");
        }
        finally {
            probing.delete(endpoint);
        }
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
