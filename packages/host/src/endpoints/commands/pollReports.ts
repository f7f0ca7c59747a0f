/** Polls the reports of all engines. */
import { requestJson } from "@currantrill/http";
import { type EndpointDigest, type EndpointId, engineReportSchema } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";

const REPORT_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 1_000;

/** Polls until the returned timer is cleared. */
export function startReportPoll(context: HostContext): NodeJS.Timeout {
    const polling = new Set<EndpointId>();
    return setInterval(() => {
        const { endpoints, pools } = getConfigurationIndex(context.configuration.current);
        for (const { name, pool } of endpoints) {
            if (pools.get(pool)?.serves === "engine" && !polling.has(name)) {
                polling.add(name);
                void pollReport(context, name).finally(() => polling.delete(name));
            }
        }
    }, REPORT_INTERVAL_MS);
}

async function pollReport(context: HostContext, endpoint: EndpointId): Promise<void> {
    const connections = context.clients.get(context.beliefs.getUrl(endpoint));
    const startedAtMs = performance.now();
    try {
        const response = await requestJson(`${connections.origin}/v1/report`, {
            timeoutMs: REPORT_TIMEOUT_MS,
            dispatcher: connections.getDispatcher(),
        });
        const report = engineReportSchema.parse(response.body);
        const digest: EndpointDigest = {
            kind: "endpoint",
            endpoint,
            reportSequence: report.sequence,
            queuedPrefillTokens: report.queued_prefill_tokens,
            runningRequests: report.running_requests,
            slots: report.slots,
            memoryUsedTokens: report.memory_used_tokens,
            memoryTotalTokens: report.memory_total_tokens,
            models: report.models.map(model => model.name),
            withdrawn: report.lending === "withdrawn",
            reachable: true,
            ageMs: performance.now() - startedAtMs,
        };
        context.beliefs.applyDigest(digest, performance.now());
    }
    catch (error) {
        connections.renew();
        context.log.debug({ err: error, endpoint }, "endpoints: no report");
    }
}
