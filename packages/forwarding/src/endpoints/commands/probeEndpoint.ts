import { readClocks } from "@currantrill/protocol";
import type { EndpointProtocol, EndpointReport } from "../../ports/endpointProtocol.js";
import { recordNotice } from "../../warmup/commands/recordNotice.js";
import type { Endpoint } from "../model/endpointDirectory.js";
import { requestEndpoint } from "./requestEndpoint.js";
import { isLackOfResources } from "./sendAttempt.js";

/** A running endpoint replies within a few milliseconds, because its report does not need a free slot. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Time after which a probe on a connection that was used before is sent on a new one as well. The former may have lost
 * its path, while the endpoint is reached on another one or through a peer.
 */
const RENEW_AFTER_MS = 100;

/**
 * Probes an endpoint by requesting its load report, on a pooled or new connection. Resolves with `undefined` if no
 * reply arrives within `PROBE_TIMEOUT_MS`, and with `"not_probed"` if this host lacks descriptors or memory for the probe;
 * never rejects.
 */
export async function probeEndpoint(
    endpoint: Endpoint,
    protocol: EndpointProtocol,
): Promise<EndpointReport | "not_probed" | undefined> {
    let isReused = false;
    const request = async (usesNewConnection: boolean): Promise<EndpointReport> => {
        const reply = await requestEndpoint(endpoint.pool, protocol.buildReport(), {
            timeoutMs: PROBE_TIMEOUT_MS,
            protocol,
            usesNewConnection,
            onSent: connection => {
                isReused ||= connection.requestCount > 1;
            },
            onNotice: notice => recordNotice(endpoint, notice, "report", readClocks()),
        });
        return protocol.parseReport(reply.body);
    };
    const pooled = request(false);
    const hasReplied = pooled.then(() => true, () => false);
    const renewed = Promise.race([hasReplied, waitUntilLate()])
        .then(isAnswered => isReused && !isAnswered ? request(true) : pooled);
    try {
        return await Promise.any([pooled, renewed]);
    }
    catch (error) {
        const { errors } = error as AggregateError;
        // Not logged here: the caller logs its own conclusion. A single failed probe is not reported to other hosts.
        return errors.some(isLackOfResources) ? "not_probed" : undefined;
    }
}

const waitUntilLate = (): Promise<false> => new Promise(resolve => setTimeout(() => resolve(false), RENEW_AFTER_MS));
