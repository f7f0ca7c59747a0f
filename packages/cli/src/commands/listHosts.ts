import type { HostsAnswer } from "@currantrill/protocol";
import { exitCodes, type Report } from "../model/report.js";
import { formatTable } from "../queries/formatTable.js";
import { type HostOptions, sendToHost } from "./sendToHost.js";

const MS_PER_SECOND = 1_000;

/** Lists the hosts with their state as known to the responding host. */
export async function listHosts(options: HostOptions): Promise<Report> {
    const result = await sendToHost<HostsAnswer>(options, { method: "GET", path: "/hosts" });
    if (!result.ok) {
        return result.report;
    }
    const rows = result.answer.hosts.map(host => [
        host.host,
        host.failureDomain,
        host.state,
        host.listed ? "yes" : "no",
        host.revision,
        `${(host.heardMsAgo / MS_PER_SECOND).toFixed(1)} s ago`,
        host.peerAddress,
    ]);
    const text = [
        `configuration revision ${result.answer.revision}`,
        formatTable(["HOST", "DOMAIN", "STATE", "LISTED", "REVISION", "HEARD", "PEER ADDRESS"], rows),
    ];
    return { exitCode: exitCodes.done, data: result.answer, text: text.join("\n") };
}
