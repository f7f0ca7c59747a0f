import {
    checkEvacuations,
    type Configuration,
    emptyConfiguration,
    listDomainObjects,
    listEvacuatedDomains,
    listNewFindings,
} from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";

/** Logs the evacuations, returns and new findings of each adopted configuration, and sets the metric. */
export function startEvacuationLog(context: HostContext): void {
    let previous: Configuration = emptyConfiguration;
    context.configuration.listeners.add(current => {
        logEvacuations(context, previous, current);
        previous = current;
    });
}

/** Logs what differs between two configurations, so that an evacuation or finding is logged once while it lasts. */
function logEvacuations({ log, metrics }: HostContext, previous: Configuration, current: Configuration): void {
    const before = listEvacuatedDomains(previous);
    const after = listEvacuatedDomains(current);
    const tickets = new Map(listDomainObjects(current).map(([domain, { ticket }]) => [domain, ticket]));
    for (const domain of after) {
        if (!before.has(domain)) {
            log.info({ domain, ticket: tickets.get(domain) }, "evacuation: domain evacuated");
        }
    }
    for (const domain of before) {
        if (!after.has(domain)) {
            log.info({ domain, ticket: tickets.get(domain) }, "evacuation: domain returned");
        }
    }
    const source = `revision ${current.revision}`;
    for (const finding of listNewFindings(checkEvacuations(previous, ""), checkEvacuations(current, source))) {
        log.warn({ ...finding }, "evacuation: finding");
    }
    metrics.evacuatedDomains.set(after.size);
}
