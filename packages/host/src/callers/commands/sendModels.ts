import { listObjects } from "@currantrill/core";
import { sendJson } from "@currantrill/http";
import { callerHeaders } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import type { HostContext } from "../../model/hostContext.js";
import { getConfigurationIndex, listAllowedEndpoints } from "../../queries/getConfigurationIndex.js";
import type { RequestScope } from "../model/requestScope.js";

/** Sends the list of the models that the workspace may use. */
export function sendModels(context: HostContext, scope: RequestScope, response: ServerResponse): void {
    const configuration = context.configuration.current;
    const index = getConfigurationIndex(configuration);
    const data = listObjects(configuration, "model")
        .filter(model => listAllowedEndpoints(index, scope.workspace.name, model.pools).length > 0)
        .map(model => ({ id: model.name, object: "model" }));
    sendJson(response, 200, { object: "list", data }, { [callerHeaders.outcome]: "answered" });
}
