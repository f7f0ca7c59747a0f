import type { EndpointProtocol, EndpointReport } from "../../ports/endpointProtocol.js";
import type { Endpoint } from "../model/endpointDirectory.js";
import { requestEndpoint } from "./requestEndpoint.js";

/** An endpoint that lives answers within a few milliseconds; its report needs no slot. */
const CHECK_TIMEOUT_MS = 300;

/** Asks an endpoint for its state on any connection. Resolves with `undefined` if it does not answer. */
export async function checkEndpoint(
    endpoint: Endpoint,
    protocol: EndpointProtocol,
): Promise<EndpointReport | undefined> {
    try {
        const reply = await requestEndpoint(endpoint.pool, protocol.buildReport(), CHECK_TIMEOUT_MS);
        return protocol.parseReport(reply.body);
    }
    catch {
        // The caller logs what it concludes; one failure is not evidence for other hosts.
        return undefined;
    }
}
