import type { EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { Endpoint } from "../model/endpointDirectory.js";
import { requestEndpoint } from "./requestEndpoint.js";

/** An endpoint that lives answers within a few milliseconds; its report needs no slot. */
const CHECK_TIMEOUT_MS = 300;

/** Asks an endpoint for its state on any connection. Resolves with whether it answered. */
export async function checkEndpoint(endpoint: Endpoint, protocol: EndpointProtocol): Promise<boolean> {
    try {
        await requestEndpoint(endpoint.pool, protocol.buildReport(), CHECK_TIMEOUT_MS);
        return true;
    }
    catch {
        // The caller logs what it concludes; one failure is not evidence for other hosts.
        return false;
    }
}
