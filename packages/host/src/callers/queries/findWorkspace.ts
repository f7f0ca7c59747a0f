import type { Configuration, WorkspaceObject } from "@currantrill/core";
import { callerHeaders } from "@currantrill/protocol";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";
import { CallerError } from "../model/callerError.js";

const BEARER = /^Bearer (\S+)$/i;

/**
 * Finds the workspace whose key the request carries as a bearer token. Keys are compared by their SHA-256. Throws the
 * error `unknown_workspace` (401) if there is none.
 */
export function findWorkspace(configuration: Configuration, headers: IncomingHttpHeaders): WorkspaceObject {
    const key = BEARER.exec(headers[callerHeaders.authorization] ?? "")?.[1] ?? "";
    const digest = createHash("sha256").update(key).digest("hex");
    const workspace = getConfigurationIndex(configuration).workspacesByKey.get(digest);
    if (key === "" || workspace === undefined) {
        throw new CallerError("unknown_workspace");
    }
    return workspace;
}
