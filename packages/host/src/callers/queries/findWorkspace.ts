import type { Configuration, WorkspaceObject } from "@currantrill/core";
import { callerHeaders } from "@currantrill/protocol";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";
import { CallerError } from "../model/callerError.js";

const BEARER = /^Bearer (\S+)$/i;

/** Finds the workspace that a request's key belongs to. Throws a 401 error if there is none. */
export function findWorkspace(configuration: Configuration, headers: IncomingHttpHeaders): WorkspaceObject {
    const key = BEARER.exec(headers[callerHeaders.authorization] ?? "")?.[1] ?? "";
    const digest = createHash("sha256").update(key).digest("hex");
    const workspace = getConfigurationIndex(configuration).workspacesByKey.get(digest);
    if (key === "" || workspace === undefined) {
        throw new CallerError("unknown_workspace");
    }
    return workspace;
}
