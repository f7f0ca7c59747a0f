import type { DomainsAnswer } from "@currantrill/protocol";
import { exitCodes, type Report } from "../model/report.js";
import { formatTable } from "../queries/formatTable.js";
import { formatWarnings } from "./runTicketCommands.js";
import { type HostOptions, sendToHost } from "./sendToHost.js";

/** Shows the state of the failure domains, and on which hosts it is in force. */
export async function describeDomains(options: HostOptions): Promise<Report> {
    const result = await sendToHost<DomainsAnswer>(options, { method: "GET", path: "/domains" });
    return result.ok
        ? { exitCode: exitCodes.done, data: result.answer, text: formatDomains(result.answer) }
        : result.report;
}

export function formatDomains({ source, revision, domains, warnings }: DomainsAnswer): string {
    const origin = source === "platform"
        ? ""
        : " on the responding host; the platform does not respond, so there may be a newer one";
    const rows = domains.map(({ domain, state, ticket, endpoints, hosts }) => {
        const live = hosts.filter(host => host.state === "live");
        const inForce = ticket === 0
            ? undefined
            : `${live.filter(host => host.inForce === true).length} of ${live.length} live hosts`;
        return [domain, state, ticket === 0 ? undefined : ticket, endpoints, inForce];
    });
    const hostRows = domains.flatMap(({ domain, hosts }) =>
        hosts
            .filter(host => host.inForce !== true)
            .map(host => [domain, host.host, host.failureDomain, host.state, host.inForce === false ? "no" : "unknown"])
    );
    return [
        `configuration revision ${revision}${origin}`,
        formatTable(["DOMAIN", "STATE", "TICKET", "ENDPOINTS", "IN FORCE"], rows),
        ...(hostRows.length === 0
            ? []
            : ["", formatTable(["DOMAIN", "HOST", "HOST'S DOMAIN", "HOST'S STATE", "IN FORCE"], hostRows)]),
        ...formatWarnings(warnings),
    ].join("\n");
}
