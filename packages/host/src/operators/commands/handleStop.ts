import { findObject, listLiveHosts } from "@currantrill/core";
import type { HttpRequest } from "@currantrill/http";
import { type StopAnswer, stopBodySchema } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { publishFact } from "../../peers/commands/publishFact.js";
import { OperatorFailure } from "../model/operatorFailure.js";

/**
 * Handles `POST /admin/stops`: stops new work on an endpoint immediately, on this host and on all hosts that it can
 * reach through gossip. Works without the platform. Throws `OperatorFailure` for an invalid body or an unknown
 * endpoint.
 */
export function handleStop(context: HostContext, request: HttpRequest): StopAnswer {
    const body = stopBodySchema.safeParse(request.body);
    if (!body.success) {
        const findings = body.error.issues.map(issue => ({
            source: "request",
            path: issue.path.map(String).join("."),
            found: issue.code,
            expected: issue.message,
        }));
        throw new OperatorFailure("invalid", findings);
    }
    const endpoint = findObject(context.configuration.current, "endpoint", body.data.endpoint);
    if (endpoint === undefined) {
        throw new OperatorFailure("not_found", [], `No endpoint ${body.data.endpoint} is configured on this host.`);
    }
    const { name, lendEpoch } = endpoint;
    publishFact(context, { kind: "stop", endpoint: name, lendEpoch, reason: body.data.reason });
    context.log.info({ endpoint: name, lendEpoch, reason: body.data.reason }, "operators: endpoint stopped");
    return { endpoint: name, lendEpoch, hosts: listLiveHosts(context.fleet.membership, performance.now()).length };
}
