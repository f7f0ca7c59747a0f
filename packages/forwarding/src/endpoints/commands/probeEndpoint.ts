import { readClocks } from "@currantrill/protocol";
import type { EndpointProtocol, EndpointReport } from "../../ports/endpointProtocol.js";
import { recordNotice } from "../../warmup/commands/recordNotice.js";
import type { Endpoint } from "../model/endpointDirectory.js";
import { requestEndpoint } from "./requestEndpoint.js";
import { isLackOfResources } from "./sendAttempt.js";

/** A running endpoint replies within a few milliseconds, because its report does not need a free slot. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Probes an endpoint by requesting its load report, on a pooled or new connection. Resolves with `undefined` if no
 * reply arrives within `PROBE_TIMEOUT_MS`, and with `"not_probed"` if this host lacks descriptors or memory for the probe;
 * never rejects.
 */
export async function probeEndpoint(
    endpoint: Endpoint,
    protocol: EndpointProtocol,
): Promise<EndpointReport | "not_probed" | undefined> {
    try {
        const reply = await requestEndpoint(endpoint.pool, protocol.buildReport(), {
            timeoutMs: PROBE_TIMEOUT_MS,
            protocol,
            onNotice: notice => recordNotice(endpoint, notice, "report", readClocks()),
        });
        return protocol.parseReport(reply.body);
    }
    catch (error) {
        // Not logged here: the caller logs its own conclusion. A single failed probe is not reported to other hosts.
        return isLackOfResources(error) ? "not_probed" : undefined;
    }
}
